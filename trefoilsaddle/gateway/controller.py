"""Run the controller: review partitions, balance load, send updates."""

from dataclasses import replace

from trefoilsaddle.core.units import NodeId, Seconds, ServiceName
from trefoilsaddle.gateway import updates
from trefoilsaddle.gateway.assigning import (
    assign_free,
    find_loads,
    handle_append_ended,
    list_capacities,
)
from trefoilsaddle.gateway.balance import (
    KeyLoad,
    Move,
    choose_moves,
)
from trefoilsaddle.gateway.calling import send_orders, send_waiting
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.effects import (
    Component,
    Effects,
    SetTimer,
)
from trefoilsaddle.gateway.election import is_store_reachable, read_tables
from trefoilsaddle.gateway.events import (
    AppendEnded,
    Event,
    OrderEnded,
    ReadVerdict,
    ReportReceived,
    Started,
    StopRequested,
    TimerExpired,
    TimerKind,
    Topic,
    TopicRead,
)
from trefoilsaddle.gateway.granting import (
    begin_release,
    handle_order_ended,
    update_partition,
)
from trefoilsaddle.gateway.loads import UseSample
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.losttables import find_novelty
from trefoilsaddle.gateway.pacing import bound_moves, count_changing
from trefoilsaddle.gateway.peermessages import Report
from trefoilsaddle.gateway.peers import (
    follows_another,
    hear_limits,
    request_configuration,
)
from trefoilsaddle.gateway.resigning import (
    begin_resigning,
    continue_resigning,
)
from trefoilsaddle.gateway.restoring import may_be_stored_again
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.takeover import (
    record_resigned,
    take_over,
    take_over_service,
)
from trefoilsaddle.gateway.watching import log_unserved_keys

# Gateways that have not reported for this time are no longer counted.
_REPORT_TIMEOUT = Seconds(3)
# Time within which a controller stores its tables again once the store is back
# from a copy: two tries to read, 0.3 s apart, and a grant of each partition.
_RESTORE_TIME = Seconds(1.5)


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Handle an event as far as it concerns the controller."""
    match event:
        case Started() | TimerExpired(kind=TimerKind.review):
            pause = gateway.options.review_interval
            timer = SetTimer(TimerKind.review, pause)
            reviewed = _update(gateway, now)
            return [timer, *reviewed, *log_unserved_keys(gateway, now)]
        case AppendEnded() | OrderEnded():
            return _handle_ended(gateway, now, event)
        case TopicRead(topic=Topic.ownership):
            return _handle_tables_read(gateway, now, event)
        case ReportReceived():
            return handle_report(gateway, now, event.report)
        case StopRequested():
            return begin_resigning(gateway, now)
    return []


def _handle_ended(
    gateway: Gateway,
    now: Seconds,
    event: AppendEnded | OrderEnded,
) -> Effects:
    if isinstance(event, AppendEnded):
        effects = handle_append_ended(gateway, now, event)
        return [*effects, *_update(gateway, now)]
    before = _find_revision(gateway, event.service)
    effects = handle_order_ended(gateway, now, event)
    if before == _find_revision(gateway, event.service):
        # Most orders renew a grant and change nothing.
        return [*effects, *send_waiting(gateway, now)]
    return [*effects, *_update(gateway, now)]


def _find_revision(gateway: Gateway, service: ServiceName) -> int | None:
    keyed = gateway.control.keyed.get(service)
    return None if keyed is None else keyed.partitions.revision


def _handle_tables_read(
    gateway: Gateway, now: Seconds, event: TopicRead
) -> Effects:
    control = gateway.control
    if not event.whole or event.verdict != ReadVerdict.records:
        return []
    if gateway.is_outdated(event.era):
        return []
    if control.leading and control.end is None:
        # The store came back from a copy and has no table of a successor.
        control.end = event.next_offset
        return _update(gateway, now)
    if not _may_take_over(gateway) or _awaits_predecessor(gateway, now):
        return []
    control.end = event.next_offset
    return take_over(gateway, now)


def _may_take_over(gateway: Gateway) -> bool:
    control = gateway.control
    servers = gateway.topics[Topic.servers]
    waiting = control.elected and not control.leading
    return waiting and servers.next_offset is not None


def _awaits_predecessor(gateway: Gateway, now: Seconds) -> bool:
    """Return whether the last controller may still store its tables again."""
    control = gateway.control
    expected = any(
        may_be_stored_again(gateway, stored)
        for stored in gateway.tables.values()
    )
    if not expected and not _lacks_holders(gateway):
        return False
    if control.outdated_since is None:
        control.outdated_since = now
    waited = now - control.outdated_since
    if expected and waited < _RESTORE_TIME:
        return True
    # It may still renew its grants, and store them once it reaches the store.
    limit = gateway.options.outage_tolerance
    return waited < limit and follows_another(gateway, now)


def _lacks_holders(gateway: Gateway) -> bool:
    """Return whether the store names no holder of a service that may have some."""
    configuration = gateway.configuration
    if configuration is None:
        return False
    return any(
        rules.keyed and _has_unknown_holders(gateway, rules.name)
        for rules in configuration.services.values()
    )


def _has_unknown_holders(gateway: Gateway, service: ServiceName) -> bool:
    stored = gateway.tables.get(service)
    if stored is None:
        return find_novelty(gateway, service) is None
    return stored.table.provisional


def _update(gateway: Gateway, now: Seconds) -> Effects:
    control = gateway.control
    if not control.leading:
        return _retry_read(gateway, now)
    if gateway.stopping_since is not None:
        return continue_resigning(gateway, now)
    effects = _add_services(gateway, now)
    if control.end is None:
        effects.extend(_retry_read(gateway, now))
    _remove_silent(control.reporters, now)
    _record_addresses(gateway)
    for keyed in list(control.keyed.values()):
        for partition in list(keyed.partitions.ordered):
            effects.extend(update_partition(gateway, keyed, partition, now))
        effects.extend(_balance(gateway, keyed, now))
        effects.extend(assign_free(gateway, keyed, now))
    effects.extend(send_orders(gateway, now))
    if not control.leading:
        return effects
    effects.extend(updates.send_full_updates(gateway, now))
    effects.extend(updates.broadcast_changes(gateway, now))
    return [*effects, *updates.announce_controller(gateway, now)]


def _retry_read(gateway: Gateway, now: Seconds) -> Effects:
    # The store may have been unreachable at the first read, or the
    # configuration or the servers not yet known.
    control = gateway.control
    wanted = control.elected or control.leading
    if not wanted or now < control.read_after:
        return []
    control.read_after = Seconds(now + gateway.options.retry_interval)
    return [read_tables()]


def _add_services(gateway: Gateway, now: Seconds) -> Effects:
    # A new configuration may add a key-divided service.
    configuration = gateway.configuration
    if configuration is None:
        return []
    effects: Effects = []
    for rules in configuration.services.values():
        if rules.keyed and rules.name not in gateway.control.keyed:
            effects.extend(take_over_service(gateway, rules.name, now))
    return effects


def _record_addresses(gateway: Gateway) -> None:
    addresses = gateway.control.addresses
    held = {
        partition.incarnation
        for keyed in gateway.control.keyed.values()
        for partition in keyed.partitions.ordered
        if partition.incarnation is not None
    }
    for incarnation in set(addresses).difference(held):
        addresses.pop(incarnation)
    for incarnation in held:
        server = gateway.registry.find_incarnation(incarnation)
        if server is not None:
            addresses[server.life] = server


def _balance(
    gateway: Gateway,
    keyed: KeyedControl,
    now: Seconds,
) -> Effects:
    # Without the store no new owner of a released range could be recorded.
    if now < keyed.balance_at or not is_store_reachable(gateway, now):
        return []
    interval = gateway.options.balance_interval
    keyed.balance_at = Seconds(now + interval)
    keyed.rates.decay(now)
    partitions = keyed.partitions.ordered
    changing = sum(not partition.granted for partition in partitions)
    if keyed.pending is not None or keyed.unknown_until is not None:
        return []
    capacities = list_capacities(gateway, keyed, now)
    if changing > count_changing(gateway, len(capacities)):
        return []
    load = KeyLoad(keyed.rates.read(now))
    effects: Effects = []
    bounds = bound_moves(gateway, len(capacities))
    for move in choose_moves(partitions, load, capacities, bounds):
        effects.extend(_begin_move(gateway, keyed, move, now))
    return effects


def _begin_move(
    gateway: Gateway,
    keyed: KeyedControl,
    move: Move,
    now: Seconds,
) -> Effects:
    # An earlier move of this round may have cut the same partition.
    partition = keyed.partitions.find_around(move.keys)
    part = keyed.partitions.split_off(partition, move.keys)
    part.target = move.target
    line = log_event(
        Component.ownership,
        'moving keys',
        service=keyed.service,
        first=move.keys.first,
        last=move.keys.last,
        source='' if part.incarnation is None else part.incarnation.server,
        target=move.target,
    )
    begin_release(keyed, part, now)
    return [line, *update_partition(gateway, keyed, part, now)]


def handle_report(gateway: Gateway, now: Seconds, report: Report) -> Effects:
    """Record the loads that a gateway reports."""
    control = gateway.control
    if not control.leading:
        return []
    node = report.gateway.node
    control.reporters[node] = now
    gateway.link.known[node] = report.gateway
    gateway.link.speeds[node] = report.speed
    record_resigned(gateway, report, now)
    for use in report.uses:
        server = gateway.registry.by_tag.get(use.tag)
        if server is not None:
            sample = UseSample(use, report.elapsed)
            loads = find_loads(gateway, server.service)
            loads.add_report(server, node, sample, now)
    _record_departures(gateway, report, now)
    hear_limits(gateway, now, report.limits)
    for counts in report.keys:
        keyed = control.keyed.get(counts.service)
        if keyed is not None:
            keyed.rates.add(counts.counts, now)
    return request_configuration(gateway, now, report)


def _record_departures(gateway: Gateway, report: Report, now: Seconds) -> None:
    registry = gateway.registry
    for tag in report.departed:
        server = registry.by_tag.get(tag)
        if server is not None and not server.draining:
            # This gateway's next own read of the entry decides.
            registry.put(replace(server, draining=True), now)
    for left in report.leaving:
        server = registry.by_tag.get(left)
        if server is not None:
            registry.record_leaving(server.life, now)


def _remove_silent(reporters: dict[NodeId, Seconds], now: Seconds) -> None:
    silent = [
        node
        for node, reported_at in reporters.items()
        if now - reported_at > _REPORT_TIMEOUT
    ]
    for node in silent:
        reporters.pop(node)
