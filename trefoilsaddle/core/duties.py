"""Handle the events of a dispatcher's duties: one role per server it holds.

Claims, leases, grants, moves and recovery have modules of their own.
"""

from trefoilsaddle.core.claims import (
    check_claims,
    maintain_claim,
    record_appended,
    record_release,
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
from trefoilsaddle.core.grants import handle_grant_answer, renew_grants
from trefoilsaddle.core.isolation import check_zones
from trefoilsaddle.core.leases import (
    ask_promises,
    handle_promise_request,
    record_final_promise,
    record_promise,
    verify_continuity,
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
    advance_all_moves,
    drain_leaving_servers,
    handle_move_timer,
    handle_revocation,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outage import (
    check_take_overs,
    confirm_take_over,
    record_defeat,
    record_follower,
    record_take_over,
)
from trefoilsaddle.core.provisional import apply_provisional_move
from trefoilsaddle.core.recovery import recover_server
from trefoilsaddle.core.roles import update_roles
from trefoilsaddle.core.sharing import handle_share_ack, handle_share_move
from trefoilsaddle.core.stopping import hand_over_roles, send_final_promises
from trefoilsaddle.core.units import Moment, NodeId, ServerId


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Handle one event that concerns the duties of this process."""
    if not node.options.dispatches:
        if isinstance(event, MessageReceived):
            _handle_announcement(node, event.sender, event.message)
        return []
    effects = _handle_event(node, moment, event)
    effects.extend(update_roles(node, moment))
    return effects


def update_duties(node: Node, moment: Moment) -> Effects:
    """Update the duties after a change of the view or of the membership."""
    if not node.options.dispatches:
        return []
    node.duties.checked_at = moment.monotonic
    return [
        *update_roles(node, moment),
        *check_claims(node, moment),
        *check_take_overs(node, moment),
        *check_zones(node, moment),
        *drain_leaving_servers(node, moment),
        *advance_all_moves(node, moment),
        *hand_over_roles(node, moment),
    ]


def _handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    match event:
        case Started():
            node.duties_stale = True
        case StopRequested():
            node.duties_stale = True
            return send_final_promises(node)
        case TimerExpired(timer=timer):
            return _handle_timer(node, moment, timer)
        case GrantAnswered():
            return _handle_grant_answer(node, moment, event)
        case LogAppended(record_ids=record_ids):
            record_appended(node, moment, record_ids)
        case MessageReceived(sender=sender, message=message):
            return _handle_message(node, moment, sender, message)
        case AttemptEnded():
            _handle_attempt_end(node, event)
    return []


def _handle_timer(node: Node, moment: Moment, timer: TimerKey) -> Effects:
    duty = node.duties.held.get(ServerId(timer.subject))
    match timer.kind:
        case TimerKind.claim:
            node.duties_stale = True
        case TimerKind.grant if duty is not None:
            return _maintain_duty(node, moment, duty)
        case TimerKind.recovery if duty is not None:
            return handle_move_timer(node, moment, duty)
    return []


def _maintain_duty(node: Node, moment: Moment, duty: Duty) -> Effects:
    node.ready_servers.add(duty.server)
    # At most one update per interval for all duties together; changes request
    # their own.
    since = moment.monotonic - node.duties.checked_at
    if since >= node.options.grant_interval:
        node.duties_stale = True
    return [
        *ask_promises(node, moment, duty),
        *verify_continuity(node, moment, duty),
        *renew_grants(node, moment, duty),
        *recover_server(node, moment, duty),
        *maintain_claim(node, moment, duty),
    ]


def _handle_grant_answer(
    node: Node, moment: Moment, event: GrantAnswered
) -> Effects:
    duty = node.duties.held.get(event.server)
    if duty is None:
        return []
    node.ready_servers.add(event.server)
    node.duties_stale = True
    effects = handle_grant_answer(node, moment, duty, event)
    effects.extend(handle_revocation(node, moment, duty, event))
    if duty.provisional and duty.superseded:
        record_defeat(node, moment, duty)
    elif duty.provisional and duty.grants.contacted:
        effects.extend(confirm_take_over(node, moment, duty))
    return effects


def _handle_message(
    node: Node,
    moment: Moment,
    sender: NodeId,
    message: Message,
) -> Effects:
    match message:
        case PromiseRequest():
            return handle_promise_request(node, moment, sender, message)
        case Promise():
            return _handle_promise(node, moment, sender, message)
        case ShareMove():
            return handle_share_move(node, moment, sender, message)
        case ShareMoveAck():
            return handle_share_ack(node, moment, sender, message)
    _handle_announcement(node, sender, message)
    return []


def _handle_announcement(node: Node, sender: NodeId, message: Message) -> None:
    """Record a move or a claim that was made while the log is unavailable."""
    match message:
        case ProvisionalMove():
            apply_provisional_move(node, sender, message)
        case ProvisionalClaim():
            record_take_over(node, sender, message)


def _handle_promise(
    node: Node,
    moment: Moment,
    sender: NodeId,
    promise: Promise,
) -> Effects:
    if promise.sequence == RELEASE:
        record_release(node, moment, sender, promise)
        return []
    if promise.sequence == FINAL_PROMISE:
        record_final_promise(node, sender, promise)
        return []
    record_promise(node, moment, sender, promise)
    return record_follower(node, moment, sender, promise)


def _handle_attempt_end(node: Node, event: AttemptEnded) -> None:
    duty = node.duties.held.get(event.server)
    if duty is None:
        return
    if event.verdict is AttemptVerdict.fenced:
        # The server may have lost its grants; the next call grants them all.
        duty.grants.synced = False
    if duty.moves:
        # Moves wait for requests in flight.  The queues record the end of this
        # one after the present handler; the duties are updated after that.
        node.duties_stale = True
