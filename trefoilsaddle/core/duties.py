"""Hold the roles of a dispatcher: claims, leases, grants, moves, recovery."""

from trefoilsaddle.core import claims, grants, leases, roles
from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.events import (
    Event,
    GrantAnswered,
    LogAppended,
    MessageReceived,
    Started,
    TimerExpired,
    TimerKind,
)
from trefoilsaddle.core.messages import Promise, PromiseRequest
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import Moment, ServerId


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Take one event for the duties of this process."""
    if not node.options.dispatches:
        return []
    effects = _take_event(node, moment, event)
    effects.extend(roles.follow_view(node, moment))
    return effects


def review_duties(node: Node, moment: Moment) -> Effects:
    """Compare the duties with the view and liveness after a change."""
    if not node.options.dispatches:
        return []
    effects = roles.follow_view(node, moment)
    effects.extend(claims.review_claims(node, moment))
    return effects


def _take_event(node: Node, moment: Moment, event: Event) -> Effects:
    match event:
        case Started():
            node.reviewed = True
        case TimerExpired(timer=timer):
            return _take_timer(node, moment, timer.kind, timer.subject)
        case GrantAnswered():
            return _take_answer(node, moment, event)
        case LogAppended(record_ids=record_ids):
            claims.note_appended(node, moment, record_ids)
        case MessageReceived(sender=sender, message=PromiseRequest() as ask):
            return leases.answer_request(node, moment, sender, ask)
        case MessageReceived(sender=sender, message=Promise() as promise):
            leases.note_promise(node, moment, sender, promise)
    return []


def _take_timer(
    node: Node,
    moment: Moment,
    kind: TimerKind,
    subject: str,
) -> Effects:
    if kind is TimerKind.claim:
        node.reviewed = True
    duty = node.duties.held.get(ServerId(subject))
    if kind is not TimerKind.grant or duty is None:
        return []
    effects = leases.ask_promises(node, moment, duty)
    effects.extend(grants.renew_grants(node, moment, duty))
    return effects


def _take_answer(node: Node, moment: Moment, event: GrantAnswered) -> Effects:
    duty = node.duties.held.get(event.server)
    if duty is None:
        return []
    node.woken.add(event.server)
    return grants.note_answer(node, moment, duty, event)
