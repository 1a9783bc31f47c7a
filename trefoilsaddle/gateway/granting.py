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
from trefoilsaddle.gateway.partitions import (
    LATEST_ARRIVAL,
    Partition,
    PartitionState,
    find_end,
    find_hold,
)
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
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


def update_partition(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
) -> Effects:
    """Do what is due for a range."""
    if partition.life is None:
        return []
    server = gateway.registry.find_incarnation(partition.life)
    if (
        partition.granted
        and not partition.calling
        and _is_reborn(gateway, partition)
    ):
        return _leave_reborn(gateway, keyed, partition, now)
    match partition.state:
        case PartitionState.granting | PartitionState.held:
            return _review_granted(gateway, keyed, partition, server, now)
        case PartitionState.releasing | PartitionState.lapsing:
            return _review_ending(gateway, keyed, partition, now)
    return []


def begin_release(
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
) -> None:
    """Take a range back from its server."""
    partition.enter(PartitionState.releasing, now)
    partition.serving = False
    keyed.partitions.change += 1


def take_order(gateway: Gateway, now: Seconds, event: OrderEnded) -> Effects:
    """Act on the answer to a grant or a release."""
    keyed = gateway.control.keyed.get(event.service)
    if keyed is None:
        return []
    partition = keyed.partitions.find(event.keys, event.fence)
    if partition is None or partition.life != event.life:
        return []
    partition.calling = False
    if event.release:
        return _take_release(gateway, keyed, partition, now, event)
    return _take_grant(gateway, keyed, partition, now, event)


def _is_reborn(gateway: Gateway, partition: Partition) -> bool:
    if partition.life is None:
        return False
    server = gateway.find_server(partition.life.server)
    return server is not None and server.life.born > partition.life.born


def _leave_reborn(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
) -> Effects:
    # A renewal may have reached the new run, which then holds the keys
    # under the old token: it has to release them as well.
    if partition.life is None:
        return []
    server = gateway.find_server(partition.life.server)
    if server is not None:
        gateway.control.addresses[partition.life] = server
    partition.reborn = True
    begin_release(keyed, partition, now)
    return [
        _describe(partition, now, 'server started anew', 'its entry says so')
    ]


def _review_granted(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    server: Server | None,
    now: Seconds,
) -> Effects:
    if partition.calling:
        return []
    # A server has to accept this controller's token before it releases, or
    # an earlier controller could renew what it released.
    leaving = server is not None and server.draining and not partition.inherited
    if server is None or leaving:
        begin_release(keyed, partition, now)
        return _review_ending(gateway, keyed, partition, now)
    failing = partition.failing_since
    if failing is None:
        return []
    suspicions = gateway.control.suspicions
    if _has_lapsed(gateway, partition, server.life, now):
        suspicions.suspect(server.life, now)
        return _let_lapse(keyed, partition, now, 'its grant has lapsed')
    suspected = suspicions.suspects(server.life, now)
    if suspected and now - failing > _GIVE_UP:
        return _let_lapse(keyed, partition, now, 'its server does not answer')
    return []


def _has_lapsed(
    gateway: Gateway,
    partition: Partition,
    life: ServerIncarnation,
    now: Seconds,
) -> bool:
    if partition.failing_since is None or now < partition.held_until:
        return False
    # Whoever is to blame, the server does not hold the keys any more.
    silent = now - partition.failing_since >= gateway.options.hold
    return silent or gateway.control.suspicions.blames(life, now)


def grant(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
) -> Effects:
    """Send the grant of a range, or its renewal."""
    server = None
    if partition.life is not None:
        server = gateway.registry.find_incarnation(partition.life)
    if server is None:
        return []
    hold = find_hold_in_force(gateway, keyed)
    if partition.failing_since is not None:
        # Ends no later than the grant without an answer, so that asking once
        # more does not put off the time at which the keys are free.
        hold = _shorten_hold(gateway, partition, hold, now)
    partition.calling = True
    partition.hold = hold
    keyed.granted_hold = Seconds(max(keyed.granted_hold, hold))
    return [
        GrantKeys(
            server, partition.keys, partition.fence, hold, partition.handover
        )
    ]


def _shorten_hold(
    gateway: Gateway,
    partition: Partition,
    hold: Seconds,
    now: Seconds,
) -> Seconds:
    call = gateway.options.grant_timeout + CONNECT_TIMEOUT
    left = partition.held_until - now - call
    shortened = max(find_hold(left), hold * _LEAST_PART)
    return Seconds(min(shortened, hold))


def _review_ending(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
) -> Effects:
    if partition.calling:
        return []
    if now >= partition.held_until:
        return _free(keyed, partition, now, 'its grant has lapsed')
    releasing = partition.state == PartitionState.releasing
    if releasing and now - partition.since > _RELEASE_PATIENCE:
        return _let_lapse(keyed, partition, now, 'its server does not release')
    return []


def is_release_late(partition: Partition, now: Seconds) -> bool:
    """Tell whether the grant lapses before a release would be answered."""
    lapsing = partition.state == PartitionState.lapsing
    return lapsing and partition.held_until - now < _RELEASE_TIME


def release(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
) -> Effects:
    """Send the release of a range."""
    if partition.life is None:
        return []
    address = gateway.control.addresses.get(partition.life)
    if address is None:
        return []
    partition.calling = True
    order = ReleaseKeys(
        keyed.service,
        partition.life,
        address.host,
        address.port,
        partition.keys,
        partition.fence,
    )
    return [order]


def _take_grant(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
    event: OrderEnded,
) -> Effects:
    if event.verdict == OrderVerdict.fenced:
        return step_down(gateway, 'a server has seen a newer grant')
    if event.verdict == OrderVerdict.done:
        partition.extend_hold(partition.hold, now)
        return _confirm(gateway, keyed, partition, now)
    if event.verdict == OrderVerdict.unknown:
        partition.extend_hold(partition.hold, Seconds(now + LATEST_ARRIVAL))
        partition.doubt_grant()
    if partition.failing_since is None:
        partition.failing_since = now
    health = gateway.control.suspicions.note_failed(
        event.life,
        Seconds(partition.failing_since - gateway.options.grant_timeout),
        now,
    )
    partition.next_call = Seconds(now + _RETRY_PAUSE)
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
    partition: Partition,
    now: Seconds,
) -> Effects:
    partition.failing_since = None
    partition.handover = ''
    if partition.life is not None:
        gateway.control.suspicions.note_confirmed(partition.life, now)
    if partition.inherited:
        # Its server refuses every earlier controller from now on.
        # One that arrived before this may still be applied.
        partition.inherited = False
        partition.shorten_inherited(find_end(keyed.inherited_hold, now))
    interval = find_renewal_interval(gateway, partition.hold)
    partition.next_call = Seconds(now + interval)
    if partition.state == PartitionState.granting:
        partition.state = PartitionState.held
        partition.since = now
    if not partition.serving:
        partition.serving = True
        keyed.partitions.change += 1
    return []


def _take_release(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
    event: OrderEnded,
) -> Effects:
    if partition.state not in {
        PartitionState.releasing,
        PartitionState.lapsing,
    }:
        return []
    # What an earlier controller sent last may still be on its way.
    unfenced = partition.inherited or partition.reborn
    renewable = unfenced and now < partition.inherited_until
    settled = not renewable and not partition.doubtful(now)
    if event.verdict == OrderVerdict.done and settled:
        handover = '' if partition.reborn else event.handover
        return _free(keyed, partition, now, 'released', handover)
    if event.verdict == OrderVerdict.done:
        # A grant without an answer may still be applied, or the earlier
        # controller may renew: wait it out.
        partition.handover = event.handover or partition.handover
    elif gateway.control.suspicions.suspects(event.life, now):
        # It does not release keys either.
        gateway.control.suspicions.suspect(event.life, now)
    partition.next_call = Seconds(now + gateway.options.retry_interval)
    return []


def _let_lapse(
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
    reason: str,
) -> Effects:
    partition.enter(PartitionState.lapsing, now)
    partition.serving = False
    keyed.partitions.change += 1
    return [_describe(partition, now, 'grant left to lapse', reason)]


def _free(
    keyed: KeyedControl,
    partition: Partition,
    now: Seconds,
    reason: str,
    handover: str = '',
) -> Effects:
    line = _describe(partition, now, 'keys are free', reason)
    partition.set_free(now, handover)
    keyed.partitions.change += 1
    return [line]


def _describe(
    partition: Partition,
    now: Seconds,
    sentence: str,
    reason: str,
) -> WriteDecision:
    return note(
        Part.ownership,
        sentence,
        reason=reason,
        server='' if partition.life is None else partition.life.server,
        first=partition.keys.first,
        last=partition.keys.last,
        fence=partition.fence,
        hold=round(partition.hold, _DIGITS),
        held_for=round(partition.held_until - now, _DIGITS),
        inherited=partition.inherited,
    )
