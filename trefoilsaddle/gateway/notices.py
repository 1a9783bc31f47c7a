"""Act on what servers state about themselves in their answers."""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import (
    Component,
    Effects,
    WriteDecision,
)
from trefoilsaddle.gateway.events import (
    AttemptEnded,
    AttemptVerdict,
    OrderEnded,
)
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.servers import ServerIncarnation
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.statements import ServerStatement

# Results of requests that the server itself has accepted or shed: such an answer
# names the limit if there is one.
_OWN_ANSWERS = frozenset((AttemptVerdict.answered, AttemptVerdict.shed))


def record_answer(
    gateway: Gateway,
    incarnation: ServerIncarnation,
    sent_at: Seconds,
    now: Seconds,
    event: AttemptEnded,
) -> Effects:
    """Record what the answer to a request states."""
    statement = event.statement
    if statement is None:
        return []
    _record_load(gateway, incarnation, statement, now)
    effects = _record_leaving(gateway, incarnation, statement, now)
    if statement.pause:
        effects.append(_pause_server(gateway, incarnation, statement, now))
    own = event.verdict in _OWN_ANSWERS
    if statement.limit is not None:
        limit = statement.limit
        effects.extend(_record_limit(gateway, incarnation, limit, now))
    elif own and statement.unlimited:
        effects.extend(_end_limit(gateway, incarnation, sent_at, now))
    return effects


def record_order(gateway: Gateway, now: Seconds, event: OrderEnded) -> Effects:
    """Record what the answer to a grant or a release states."""
    statement = event.statement
    if statement is None:
        return []
    effects = _record_leaving(gateway, event.incarnation, statement, now)
    if statement.limit is not None:
        limit = statement.limit
        effects.extend(_record_limit(gateway, event.incarnation, limit, now))
    return effects


def _record_load(
    gateway: Gateway,
    incarnation: ServerIncarnation,
    statement: ServerStatement,
    now: Seconds,
) -> None:
    server = gateway.registry.find_incarnation(incarnation)
    if statement.load is None or server is None:
        return
    gateway.pools.find(incarnation).record_load(statement.load, now)
    gateway.pools.reporting.add(server.service)


def _record_leaving(
    gateway: Gateway,
    incarnation: ServerIncarnation,
    statement: ServerStatement,
    now: Seconds,
) -> Effects:
    if not statement.leaving:
        return []
    if not gateway.registry.record_leaving(incarnation, now):
        return []
    line = log_event(
        Component.forwarding,
        'server says that it leaves',
        server=incarnation.server,
    )
    return [line]


def _pause_server(
    gateway: Gateway,
    incarnation: ServerIncarnation,
    statement: ServerStatement,
    now: Seconds,
) -> WriteDecision:
    pool = gateway.pools.find(incarnation)
    until = now + statement.pause
    pool.paused_until = Seconds(max(pool.paused_until, until))
    return log_event(
        Component.forwarding,
        'server asks for a pause',
        server=incarnation.server,
        pause=statement.pause,
    )


def _record_limit(
    gateway: Gateway,
    incarnation: ServerIncarnation,
    limit: float,
    now: Seconds,
) -> Effects:
    if not gateway.limits.state(incarnation, limit, now):
        return []
    line = log_event(
        Component.forwarding,
        'server names a limit',
        server=incarnation.server,
        limit=limit,
        gateways=gateway.count_gateways(),
    )
    return [line]


def _end_limit(
    gateway: Gateway,
    incarnation: ServerIncarnation,
    sent_at: Seconds,
    now: Seconds,
) -> Effects:
    if not gateway.limits.end(incarnation, sent_at, now):
        return []
    line = log_event(
        Component.forwarding,
        'server names no limit any more',
        server=incarnation.server,
    )
    return [line]
