"""Run the controller's part: review ranges, balance load, tell gateways."""

from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.gateway import telling
from trefoilsaddle.gateway.assigning import (
    append_table,
    assign_free,
    find_loads,
    list_capacities,
    take_append,
)
from trefoilsaddle.gateway.balance import (
    KeyLoad,
    Move,
    choose_moves,
)
from trefoilsaddle.gateway.calling import send_orders
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.effects import (
    Effects,
    LeaveGroup,
    Part,
    SetTimer,
)
from trefoilsaddle.gateway.election import read_tables, step_down
from trefoilsaddle.gateway.events import (
    AppendEnded,
    ConfigurationWanted,
    Event,
    OrderEnded,
    PeerLinked,
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
    take_order,
    update_partition,
)
from trefoilsaddle.gateway.journal import note
from trefoilsaddle.gateway.loads import UseSample
from trefoilsaddle.gateway.pacing import bound_moves, count_changing
from trefoilsaddle.gateway.peermessages import Report
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.takeover import (
    learn_end,
    take_over,
    take_service,
)
from trefoilsaddle.gateway.watching import watch_keys

# Gateways that have not reported for this time are not counted.
_SILENCE = Seconds(3)
# Age of the store's last answer up to which it is taken to be there.
_STORE_AGE = Seconds(0.8)


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Do the controller's part of an event, while this gateway has it."""
    match event:
        case Started() | TimerExpired(kind=TimerKind.review):
            pause = gateway.options.review_interval
            timer = SetTimer(TimerKind.review, pause)
            reviewed = _review(gateway, now)
            return [timer, *reviewed, *watch_keys(gateway, now)]
        case AppendEnded() | OrderEnded():
            return _take_ending(gateway, now, event)
        case TopicRead(topic=Topic.ownership):
            return _begin(gateway, now, event)
        case ReportReceived():
            return take_report(gateway, now, event.report)
        case PeerLinked() | ConfigurationWanted() | StopRequested():
            return _take_change(gateway, now, event)
    return []


def _take_change(
    gateway: Gateway,
    now: Seconds,
    event: PeerLinked | ConfigurationWanted | StopRequested,
) -> Effects:
    if isinstance(event, ConfigurationWanted):
        return telling.pass_configuration(gateway, event.node)
    if isinstance(event, PeerLinked):
        return telling.welcome(gateway, now, event.node)
    return _resign(gateway)


def _take_ending(
    gateway: Gateway,
    now: Seconds,
    event: AppendEnded | OrderEnded,
) -> Effects:
    if isinstance(event, AppendEnded):
        effects = take_append(gateway, now, event)
    else:
        effects = take_order(gateway, now, event)
    return [*effects, *_review(gateway, now)]


def _begin(gateway: Gateway, now: Seconds, event: TopicRead) -> Effects:
    control = gateway.control
    if not event.whole or event.verdict != ReadVerdict.records:
        return []
    if not control.chosen or control.leading:
        return []
    if gateway.topics[Topic.servers].next_offset is None:
        return []
    control.end = event.next_offset
    return take_over(gateway, now)


def _resign(gateway: Gateway) -> Effects:
    control = gateway.control
    effects: Effects = []
    if control.leading:
        for keyed in control.keyed.values():
            effects.extend(append_table(gateway, keyed))
    effects.extend(step_down(gateway, 'the process stops'))
    return [*effects, LeaveGroup()]


def _review(gateway: Gateway, now: Seconds) -> Effects:
    control = gateway.control
    if not control.leading:
        return _read_again(gateway, now)
    effects = _find_services(gateway, now)
    _remember_addresses(gateway)
    for keyed in list(control.keyed.values()):
        for partition in list(keyed.partitions.ordered):
            effects.extend(update_partition(gateway, keyed, partition, now))
        effects.extend(_balance(gateway, keyed, now))
        effects.extend(assign_free(gateway, keyed, now))
    effects.extend(send_orders(gateway, now))
    if not control.leading:
        return effects
    effects.extend(telling.tell_newcomers(gateway, now))
    effects.extend(telling.tell_changes(gateway, now))
    return [*effects, *telling.announce(gateway, now)]


def _read_again(gateway: Gateway, now: Seconds) -> Effects:
    # The store may have been away at the first read, or the configuration
    # or the servers not yet known.
    control = gateway.control
    if not control.chosen or now < control.read_after:
        return []
    control.read_after = Seconds(now + gateway.options.retry_interval)
    return [read_tables()]


def _find_services(gateway: Gateway, now: Seconds) -> Effects:
    # A new configuration may bring a key-divided service.
    configuration = gateway.configuration
    if configuration is None:
        return []
    effects: Effects = []
    for rules in configuration.services.values():
        if rules.keyed and rules.name not in gateway.control.keyed:
            effects.extend(take_service(gateway, rules.name, now))
    return effects


def _remember_addresses(gateway: Gateway) -> None:
    addresses = gateway.control.addresses
    held = {
        partition.life
        for keyed in gateway.control.keyed.values()
        for partition in keyed.partitions.ordered
        if partition.life is not None
    }
    for life in set(addresses).difference(held):
        addresses.pop(life)
    for life in held:
        server = gateway.registry.find_incarnation(life)
        if server is not None:
            addresses[server.life] = server


def _balance(
    gateway: Gateway,
    keyed: KeyedControl,
    now: Seconds,
) -> Effects:
    if now < keyed.balance_at or not _is_store_near(gateway, now):
        return []
    interval = gateway.options.balance_interval
    keyed.balance_at = Seconds(now + interval)
    keyed.rates.decay(now)
    partitions = keyed.partitions.ordered
    changing = sum(not partition.granted for partition in partitions)
    if keyed.pending is not None:
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


def _is_store_near(gateway: Gateway, now: Seconds) -> bool:
    # Without the store a released range could be given to no one.
    return now - gateway.control.confirmed_at <= _STORE_AGE


def _begin_move(
    gateway: Gateway,
    keyed: KeyedControl,
    move: Move,
    now: Seconds,
) -> Effects:
    part = keyed.partitions.cut_out(move.partition, move.keys)
    part.target = move.target
    line = note(
        Part.ownership,
        'moving keys',
        service=keyed.service,
        first=move.keys.first,
        last=move.keys.last,
        source='' if part.life is None else part.life.server,
        target=move.target,
    )
    begin_release(keyed, part, now)
    return [line, *update_partition(gateway, keyed, part, now)]


def take_report(gateway: Gateway, now: Seconds, report: Report) -> Effects:
    """Learn the loads that a gateway reports."""
    control = gateway.control
    if not control.leading:
        return []
    node = report.gateway.node
    control.reporters[node] = now
    gateway.link.known[node] = report.gateway
    gateway.link.speeds[node] = report.speed
    _forget_silent(control.reporters, now)
    learn_end(gateway, report.gateway, now)
    for use in report.uses:
        server = gateway.registry.by_tag.get(use.tag)
        if server is not None:
            sample = UseSample(use, report.elapsed)
            loads = find_loads(gateway, server.service)
            loads.add_report(server, node, sample, now)
    for counts in report.keys:
        keyed = control.keyed.get(counts.service)
        if keyed is not None:
            keyed.rates.add(counts.counts, now)
    return []


def _forget_silent(reporters: dict[NodeId, Seconds], now: Seconds) -> None:
    silent = [node for node, told in reporters.items() if now - told > _SILENCE]
    for node in silent:
        reporters.pop(node)
