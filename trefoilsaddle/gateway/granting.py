"""Make, renew and take back grants, and act on what became of them."""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.effects import (
    Effects,
    GrantKeys,
    Part,
    ReleaseKeys,
    WriteDecision,
)
from trefoilsaddle.gateway.election import step_down
from trefoilsaddle.gateway.events import (
    OrderEnded,
    OrderTimes,
    OrderVerdict,
)
from trefoilsaddle.gateway.journal import note
from trefoilsaddle.gateway.options import CONNECT_TIMEOUT
from trefoilsaddle.gateway.pacing import (
    find_hold_in_force,
    find_renewal_interval,
)
from trefoilsaddle.gateway.pieces import (
    LATEST_ARRIVAL,
    Piece,
    PieceState,
    find_end,
    find_hold,
)
from trefoilsaddle.gateway.servers import Server, ServerLife
from trefoilsaddle.gateway.state import Gateway

# Time of failed renewals after which a server's grants are left to lapse.
_GIVE_UP = Seconds(0.7)
# A release that would be answered later than this before the grant lapses
# is not worth asking for.
_RELEASE_TIME = Seconds(0.35)
# Part of a hold that a repeated grant is made for at least.
_LEAST_PART = 0.3
# Longest time that a leaving server is asked to release its keys; later its
# grants are left to lapse, which takes about as long.
_RELEASE_PATIENCE = Seconds(3)


def review_piece(
    gateway: Gateway,
    keyed: KeyedControl,
    piece: Piece,
    now: Seconds,
) -> Effects:
    """Do what is due for a range."""
    if piece.life is None:
        return []
    server = gateway.book.find_life(piece.life)
    if piece.granted and not piece.calling and _is_reborn(gateway, piece):
        return _leave_reborn(gateway, keyed, piece, now)
    match piece.state:
        case PieceState.granting | PieceState.held:
            return _review_granted(gateway, keyed, piece, server, now)
        case PieceState.releasing | PieceState.lapsing:
            return _review_ending(gateway, keyed, piece, now)
    return []


def begin_release(
    keyed: KeyedControl,
    piece: Piece,
    now: Seconds,
) -> None:
    """Take a range back from its server."""
    piece.enter(PieceState.releasing, now)
    piece.serving = False
    keyed.pieces.change += 1


def take_order(gateway: Gateway, now: Seconds, event: OrderEnded) -> Effects:
    """Act on the answer to a grant or a release."""
    keyed = gateway.control.keyed.get(event.service)
    if keyed is None:
        return []
    piece = keyed.pieces.find(event.keys, event.fence)
    if piece is None or piece.life != event.life:
        return []
    piece.calling = False
    if event.release:
        return _take_release(gateway, keyed, piece, now, event)
    return _take_grant(gateway, keyed, piece, now, event)


def _is_reborn(gateway: Gateway, piece: Piece) -> bool:
    if piece.life is None:
        return False
    server = gateway.find_server(piece.life.server)
    return server is not None and server.life.born > piece.life.born


def _leave_reborn(
    gateway: Gateway,
    keyed: KeyedControl,
    piece: Piece,
    now: Seconds,
) -> Effects:
    # A renewal may have reached the new run, which then holds the keys
    # under the old token: it has to release them as well.
    if piece.life is None:
        return []
    server = gateway.find_server(piece.life.server)
    if server is not None:
        gateway.control.addresses[piece.life] = server
    piece.reborn = True
    begin_release(keyed, piece, now)
    return [_describe(piece, now, 'server started anew', 'its entry says so')]


def _review_granted(
    gateway: Gateway,
    keyed: KeyedControl,
    piece: Piece,
    server: Server | None,
    now: Seconds,
) -> Effects:
    if piece.calling:
        return []
    # A server has to accept this controller's token before it releases, or
    # an earlier controller could renew what it released.
    leaving = server is not None and server.draining and not piece.inherited
    if server is None or leaving:
        begin_release(keyed, piece, now)
        return _review_ending(gateway, keyed, piece, now)
    failing = piece.failing_since
    if failing is None:
        return []
    suspicions = gateway.control.suspicions
    if _has_lapsed(gateway, piece, server.life, now):
        suspicions.suspect(server.life, now)
        return _let_lapse(keyed, piece, now, 'its grant has lapsed')
    suspected = suspicions.suspects(server.life, now)
    if suspected and now - failing > _GIVE_UP:
        return _let_lapse(keyed, piece, now, 'its server does not answer')
    return []


def _has_lapsed(
    gateway: Gateway,
    piece: Piece,
    life: ServerLife,
    now: Seconds,
) -> bool:
    if piece.failing_since is None or now < piece.held_until:
        return False
    # Whoever is to blame, the server does not hold the keys any more.
    silent = now - piece.failing_since >= gateway.options.hold
    return silent or gateway.control.suspicions.blames(life, now)


def grant(
    gateway: Gateway,
    keyed: KeyedControl,
    piece: Piece,
    now: Seconds,
) -> Effects:
    """Send the grant of a range, or its renewal."""
    server = None
    if piece.life is not None:
        server = gateway.book.find_life(piece.life)
    if server is None:
        return []
    hold = find_hold_in_force(gateway, keyed)
    if piece.failing_since is not None:
        # Ends no later than the grant without an answer, so that asking once
        # more does not put off the time at which the keys are free.
        hold = _shorten_hold(gateway, piece, hold, now)
    piece.calling = True
    piece.hold = hold
    keyed.granted_hold = Seconds(max(keyed.granted_hold, hold))
    return [GrantKeys(server, piece.keys, piece.fence, hold, piece.handover)]


def _shorten_hold(
    gateway: Gateway,
    piece: Piece,
    hold: Seconds,
    now: Seconds,
) -> Seconds:
    call = gateway.options.grant_timeout + CONNECT_TIMEOUT
    left = piece.held_until - now - call
    shortened = max(find_hold(left), hold * _LEAST_PART)
    return Seconds(min(shortened, hold))


def _review_ending(
    gateway: Gateway,
    keyed: KeyedControl,
    piece: Piece,
    now: Seconds,
) -> Effects:
    if piece.calling:
        return []
    if now >= piece.held_until:
        return _free(keyed, piece, now, 'its grant has lapsed')
    releasing = piece.state == PieceState.releasing
    if releasing and now - piece.since > _RELEASE_PATIENCE:
        return _let_lapse(keyed, piece, now, 'its server does not release')
    return []


def is_release_late(piece: Piece, now: Seconds) -> bool:
    """Tell whether the grant lapses before a release would be answered."""
    lapsing = piece.state == PieceState.lapsing
    return lapsing and piece.held_until - now < _RELEASE_TIME


def release(
    gateway: Gateway,
    keyed: KeyedControl,
    piece: Piece,
) -> Effects:
    """Send the release of a range."""
    if piece.life is None:
        return []
    address = gateway.control.addresses.get(piece.life)
    if address is None:
        return []
    piece.calling = True
    order = ReleaseKeys(
        keyed.service,
        piece.life,
        address.host,
        address.port,
        piece.keys,
        piece.fence,
    )
    return [order]


def _take_grant(
    gateway: Gateway,
    keyed: KeyedControl,
    piece: Piece,
    now: Seconds,
    event: OrderEnded,
) -> Effects:
    if event.verdict == OrderVerdict.fenced:
        return step_down(gateway, 'a server has seen a newer grant')
    if event.verdict == OrderVerdict.done:
        piece.extend_hold(piece.hold, now)
        return _confirm(gateway, keyed, piece, now)
    if event.verdict == OrderVerdict.unknown:
        piece.extend_hold(piece.hold, Seconds(now + LATEST_ARRIVAL))
        piece.doubt_grant()
    if piece.failing_since is None:
        piece.failing_since = now
    health = gateway.control.suspicions.note_failed(
        event.life,
        Seconds(piece.failing_since - gateway.options.grant_timeout),
        now,
    )
    piece.next_call = Seconds(now + _RETRY_PAUSE)
    line = note(
        Part.ownership,
        'grant not confirmed',
        server=event.life.server,
        first=event.keys.first,
        last=event.keys.last,
        fence=event.fence,
        verdict=event.verdict.value,
        others_confirmed=health.confirmed,
        others_failed=health.failed,
        suspected=gateway.control.suspicions.suspects(event.life, now),
        **_describe_times(event.times),
    )
    return [line]


def _describe_times(times: OrderTimes) -> dict[str, float]:
    return {
        f'{step}_after': round(time, _DIGITS)
        for step, time in times.list_steps()
    }


# Milliseconds are enough to tell a late step.
_DIGITS = 3


# Pause before a call that was not answered is made again.
_RETRY_PAUSE = Seconds(0.1)


def _confirm(
    gateway: Gateway,
    keyed: KeyedControl,
    piece: Piece,
    now: Seconds,
) -> Effects:
    piece.failing_since = None
    piece.handover = ''
    if piece.life is not None:
        gateway.control.suspicions.note_confirmed(piece.life, now)
    if piece.inherited:
        # Its server refuses every earlier controller from now on.
        # One that arrived before this may still be applied.
        piece.inherited = False
        piece.shorten_inherited(find_end(keyed.inherited_hold, now))
    interval = find_renewal_interval(gateway, piece.hold)
    piece.next_call = Seconds(now + interval)
    if piece.state == PieceState.granting:
        piece.state = PieceState.held
        piece.since = now
    if not piece.serving:
        piece.serving = True
        keyed.pieces.change += 1
    return []


def _take_release(
    gateway: Gateway,
    keyed: KeyedControl,
    piece: Piece,
    now: Seconds,
    event: OrderEnded,
) -> Effects:
    if piece.state not in {PieceState.releasing, PieceState.lapsing}:
        return []
    # What an earlier controller sent last may still be on its way.
    unfenced = piece.inherited or piece.reborn
    renewable = unfenced and now < piece.inherited_until
    settled = not renewable and not piece.doubtful(now)
    if event.verdict == OrderVerdict.done and settled:
        handover = '' if piece.reborn else event.handover
        return _free(keyed, piece, now, 'released', handover)
    if event.verdict == OrderVerdict.done:
        # A grant without an answer may still be applied, or the earlier
        # controller may renew: wait it out.
        piece.handover = event.handover or piece.handover
    elif gateway.control.suspicions.suspects(event.life, now):
        # It does not release keys either.
        gateway.control.suspicions.suspect(event.life, now)
    piece.next_call = Seconds(now + gateway.options.retry_interval)
    return []


def _let_lapse(
    keyed: KeyedControl,
    piece: Piece,
    now: Seconds,
    reason: str,
) -> Effects:
    piece.enter(PieceState.lapsing, now)
    piece.serving = False
    keyed.pieces.change += 1
    return [_describe(piece, now, 'grant left to lapse', reason)]


def _free(
    keyed: KeyedControl,
    piece: Piece,
    now: Seconds,
    reason: str,
    handover: str = '',
) -> Effects:
    line = _describe(piece, now, 'keys are free', reason)
    piece.set_free(now, handover)
    keyed.pieces.change += 1
    return [line]


def _describe(
    piece: Piece,
    now: Seconds,
    sentence: str,
    reason: str,
) -> WriteDecision:
    return note(
        Part.ownership,
        sentence,
        reason=reason,
        server='' if piece.life is None else piece.life.server,
        first=piece.keys.first,
        last=piece.keys.last,
        fence=piece.fence,
        hold=round(piece.hold, _DIGITS),
        held_for=round(piece.held_until - now, _DIGITS),
        inherited=piece.inherited,
    )
