"""Hold the roles of a dispatcher: claims, leases, grants, moves, recovery."""

from trefoilsaddle.core.claims import (
    maintain_claim,
    note_appended,
    note_release,
    review_claims,
)
from trefoilsaddle.core.dutystate import Duty
from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.events import (
    AttemptEnded,
    AttemptVerdict,
    Event,
    GrantAnswered,
    LogAppended,
    MessageReceived,
    Started,
    StopRequested,
    TimerExpired,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.grants import note_answer, renew_grants
from trefoilsaddle.core.isolation import review_zones
from trefoilsaddle.core.leases import (
    answer_request,
    ask_promises,
    ask_witnesses,
    note_last_word,
    note_promise,
)
from trefoilsaddle.core.messages import (
    FINAL_PROMISE,
    RELEASE,
    Message,
    Promise,
    PromiseRequest,
    ProvisionalClaim,
    ProvisionalMove,
    ShareMove,
    ShareMoveAck,
)
from trefoilsaddle.core.moves import (
    advance_all,
    empty_leaving,
    note_revocation,
    take_move_timer,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outage import (
    confirm_take_over,
    note_defeat,
    note_follower,
    note_take_over,
    review_take_overs,
)
from trefoilsaddle.core.provisional import accept_move
from trefoilsaddle.core.recovery import recover_server
from trefoilsaddle.core.roles import follow_view
from trefoilsaddle.core.sharing import take_ack, take_share
from trefoilsaddle.core.stopping import hand_over_roles, send_final_promises
from trefoilsaddle.core.units import Moment, NodeId, ServerId


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Take one event for the duties of this process."""
    if not node.options.dispatches:
        if isinstance(event, MessageReceived):
            _hear_news(node, event.sender, event.message)
        return []
    effects = _take_event(node, moment, event)
    effects.extend(follow_view(node, moment))
    return effects


def review_duties(node: Node, moment: Moment) -> Effects:
    """Compare the duties with the view and liveness after a change."""
    if not node.options.dispatches:
        return []
    node.duties.reviewed_at = moment.monotonic
    return [
        *follow_view(node, moment),
        *review_claims(node, moment),
        *review_take_overs(node, moment),
        *review_zones(node, moment),
        *empty_leaving(node, moment),
        *advance_all(node, moment),
        *hand_over_roles(node, moment),
    ]


def _take_event(node: Node, moment: Moment, event: Event) -> Effects:
    match event:
        case Started():
            node.duties_stale = True
        case StopRequested():
            node.duties_stale = True
            return send_final_promises(node)
        case TimerExpired(timer=timer):
            return _take_timer(node, moment, timer)
        case GrantAnswered():
            return _take_answer(node, moment, event)
        case LogAppended(record_ids=record_ids):
            note_appended(node, moment, record_ids)
        case MessageReceived(sender=sender, message=message):
            return _take_message(node, moment, sender, message)
        case AttemptEnded():
            _note_attempt(node, event)
    return []


def _take_timer(node: Node, moment: Moment, timer: TimerKey) -> Effects:
    duty = node.duties.held.get(ServerId(timer.subject))
    match timer.kind:
        case TimerKind.claim:
            node.duties_stale = True
        case TimerKind.grant if duty is not None:
            return _look_after(node, moment, duty)
        case TimerKind.recovery if duty is not None:
            return take_move_timer(node, moment, duty)
    return []


def _look_after(node: Node, moment: Moment, duty: Duty) -> Effects:
    node.ready_servers.add(duty.server)
    # Once for all duties: a change asks for a review of its own.
    since = moment.monotonic - node.duties.reviewed_at
    if since >= node.options.grant_interval:
        node.duties_stale = True
    return [
        *ask_promises(node, moment, duty),
        *ask_witnesses(node, moment, duty),
        *renew_grants(node, moment, duty),
        *recover_server(node, moment, duty),
        *maintain_claim(node, moment, duty),
    ]


def _take_answer(node: Node, moment: Moment, event: GrantAnswered) -> Effects:
    duty = node.duties.held.get(event.server)
    if duty is None:
        return []
    node.ready_servers.add(event.server)
    node.duties_stale = True
    effects = note_answer(node, moment, duty, event)
    effects.extend(note_revocation(node, moment, duty, event))
    if duty.provisional and duty.superseded:
        note_defeat(node, moment, duty)
    elif duty.provisional and duty.grants.contacted:
        effects.extend(confirm_take_over(node, moment, duty))
    return effects


def _take_message(
    node: Node,
    moment: Moment,
    sender: NodeId,
    message: Message,
) -> Effects:
    match message:
        case PromiseRequest():
            return answer_request(node, moment, sender, message)
        case Promise():
            return _take_promise(node, moment, sender, message)
        case ShareMove():
            return take_share(node, moment, sender, message)
        case ShareMoveAck():
            return take_ack(node, moment, sender, message)
    _hear_news(node, sender, message)
    return []


def _hear_news(node: Node, sender: NodeId, message: Message) -> None:
    """Learn what has changed hands since the log went away."""
    match message:
        case ProvisionalMove():
            accept_move(node, sender, message)
        case ProvisionalClaim():
            note_take_over(node, sender, message)


def _take_promise(
    node: Node,
    moment: Moment,
    sender: NodeId,
    promise: Promise,
) -> Effects:
    if promise.sequence == RELEASE:
        note_release(node, moment, sender, promise)
        return []
    if promise.sequence == FINAL_PROMISE:
        note_last_word(node, sender, promise)
        return []
    note_promise(node, moment, sender, promise)
    return note_follower(node, moment, sender, promise)


def _note_attempt(node: Node, event: AttemptEnded) -> None:
    duty = node.duties.held.get(event.server)
    if duty is None:
        return
    if event.verdict is AttemptVerdict.fenced:
        # The server may have lost its grants: the next call grants them all.
        duty.grants.seeded = False
    if duty.moves:
        # Moves wait for work in flight.  The queues note its end after this
        # event, and the moves are looked at again after them.
        node.duties_stale = True
