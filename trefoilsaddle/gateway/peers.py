"""Exchange reports and updates with the controller, or with a relay of it."""

from dataclasses import replace

from trefoilsaddle.core.units import NodeId, Seconds, ServerId, Version
from trefoilsaddle.gateway.effects import (
    AskConfiguration,
    Component,
    DialController,
    DropPeers,
    Effects,
    SendReport,
    SetTimer,
    WriteDecision,
)
from trefoilsaddle.gateway.events import (
    ClockAnswered,
    Event,
    LinkLost,
    LinkOpened,
    NewsReceived,
    RelayAssigned,
    Started,
    TimerKind,
    Topic,
)
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.peermessages import (
    Greeting,
    KeyCount,
    KeyCounts,
    News,
    OwnerNews,
    Report,
    ServerLimit,
    ServerUse,
)
from trefoilsaddle.gateway.pools import Pool
from trefoilsaddle.gateway.rounding import round_load, round_time
from trefoilsaddle.gateway.servers import Server, ServerTag
from trefoilsaddle.gateway.state import Gateway, LinkState, ServiceOwners
from trefoilsaddle.gateway.table import GatewayAddress, OwnerMap

# Time limit for a copy of a configuration before it is read from the store.
_COPY_TIMEOUT = Seconds(0.8)
# Time for which reports name a server that was read to be leaving or gone: long
# enough to reach the next controller as well.
_DEPARTED_TIME = Seconds(3)
# Maximum number of servers whose changes are logged one by one.
_MAX_LINES = 4
# Time in which a new controller sends its first update, in groups of gateways.
_LINK_TIME = Seconds(1)
# The link counts as lost without an update for this time; updates arrive twice
# a second.
_MAX_NEWS_AGE = Seconds(1.4)
# Time within which a relay connects to a controller that has announced itself.
_RELAY_CHANGE_TIME = Seconds(1.5)
# Time within which a relay tells of any controller; a lost one is replaced in
# less.
_MAX_RELAY_SEARCH = Seconds(4)
# Age from which a late update is logged, and the interval between two lines.
_LATE_UPDATE = Seconds(0.5)
_LATE_LINE_INTERVAL = Seconds(1)


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Handle updates of the controller and the loss of its link."""
    match event:
        case Started():
            pause = gateway.options.report_interval
            return [SetTimer(TimerKind.report, pause)]
        case NewsReceived():
            return _handle_news(gateway, now, event.news)
        case LinkOpened():
            return [SendReport(_build_greeting(gateway, now))]
        case ClockAnswered():
            answer = event.answer
            clock = gateway.link.clock
            clock.record_answer(answer.asked_at, answer.stamp, now)
        case RelayAssigned():
            return _handle_relay(gateway, now, event.relay)
        case LinkLost():
            return _handle_link_lost(gateway, now)
    return []


def is_linked(gateway: Gateway, now: Seconds) -> bool:
    """Return whether what the controller last sent is recent."""
    news_at = gateway.link.news_at
    return news_at is not None and now - news_at <= _MAX_NEWS_AGE


def is_told(gateway: Gateway, now: Seconds) -> bool:
    """Return whether updates arrive, though maybe not from a controller."""
    told_at = gateway.link.told_at
    return told_at is not None and now - told_at <= _MAX_NEWS_AGE


def is_connecting(gateway: Gateway, now: Seconds) -> bool:
    """Return whether the end that was dialed may still answer."""
    link = gateway.link
    if link.address == gateway.own_address():
        return False
    return link.dialed_at is not None and now - link.dialed_at < _LINK_TIME


def follows_another(gateway: Gateway, now: Seconds) -> bool:
    """Return whether another gateway is the controller, or may be."""
    if gateway.link.address in {None, gateway.own_address()}:
        return False
    return is_linked(gateway, now) or is_connecting(gateway, now)


def dial(gateway: Gateway, now: Seconds, address: GatewayAddress) -> Effects:
    """Connect to the controller named by the newest table."""
    link = gateway.link
    if link.address == address:
        return []
    link.address = address
    link.term = 0
    line = log_event(
        Component.peers,
        'controller is another gateway',
        controller=address.node,
    )
    if link.relay is not None and address != gateway.own_address():
        if link.relay == address:
            link.relay = None
            return [line]
        if is_told(gateway, now):
            # The relay connects to the new controller as well.
            return [line]
    link.relay = None
    link.news_at = None
    _begin_connection(link, now)
    if address.node == gateway.options.node:
        # This gateway, or an earlier incarnation of it.
        return [DialController(None)]
    return [DialController(address), line]


def _begin_connection(link: LinkState, now: Seconds) -> None:
    link.dialed_at = now
    link.told_at = None
    link.complete = False
    link.clock.reset()


def _build_greeting(gateway: Gateway, now: Seconds) -> Report:
    options = gateway.options
    clock = gateway.link.clock
    clock.reset()
    greeting = Greeting(
        options.region,
        options.link_rate,
        len(gateway.connected.nodes),
        gateway.link.lost_relay,
    )
    return Report(
        gateway.own_address(),
        Seconds(0),
        (),
        (),
        options.speed,
        asked_at=clock.ask(now),
        greeting=greeting,
    )


def build_report(gateway: Gateway, now: Seconds) -> Report:
    """Build the report of the requests since the last one."""
    since = gateway.reported_at
    elapsed = Seconds(now - since)
    gateway.reported_at = now
    pools = gateway.pools.by_incarnation.values()
    uses = (
        _build_server_use(pool, now, elapsed)
        for pool in pools
        if not pool.is_unused()
    )
    keys = tuple(
        KeyCounts(
            service,
            tuple(KeyCount(key, total) for key, total in counts.items()),
        )
        for service, counts in gateway.key_counts.items()
    )
    gateway.key_counts.clear()
    seen = tuple(use for use in uses if use is not None)
    return Report(
        gateway.own_address(),
        elapsed,
        seen,
        keys,
        gateway.options.speed,
        _list_departed(gateway, now),
        *_find_controller_term(gateway),
        configuration=gateway.version,
        limits=gateway.limits.list_heard(now, since),
        leaving=gateway.registry.list_leaving(),
        asked_at=gateway.link.clock.ask(now),
    )


def _find_controller_term(gateway: Gateway) -> tuple[int, int]:
    address = gateway.link.address
    if address is None or gateway.control.grants.in_flight:
        return 0, 0
    return address.run, gateway.link.term


def _list_departed(gateway: Gateway, now: Seconds) -> tuple[ServerTag, ...]:
    gateway.departed = {
        tag: read_at
        for tag, read_at in gateway.departed.items()
        if now - read_at <= _DEPARTED_TIME
    }
    return tuple(gateway.departed)


def _build_server_use(
    pool: Pool, now: Seconds, elapsed: Seconds
) -> ServerUse | None:
    use = pool.pop_use(pool.pop_mean(now, elapsed))
    if use.busy or use.succeeded or use.failed:
        return replace(
            use,
            busy=round_load(use.busy),
            sampled=round_time(use.sampled),
        )
    return None


def send_report(gateway: Gateway, report: Report) -> Effects:
    """Return the effect that sends a report, if a controller is known."""
    address = gateway.link.address
    if address is None or address == gateway.own_address():
        return []
    return [SendReport(report)]


def apply_news(gateway: Gateway, now: Seconds, news: News) -> Effects:
    """Apply the loads, owners and gateways of an update."""
    link = gateway.link
    if not is_linked(gateway, now):
        link.linked_at = now
        link.counted_by = None
    if link.counted_by != news.run:
        link.counted_by = news.run
        link.counted_since = now
    built_at = link.clock.find_built_at(news.stamp, now)
    link.told_at = built_at
    link.was_told = True
    # A relay that has lost the controller tells a greater age.
    had_at = Seconds(built_at - news.controller_age)
    link.news_at = max(link.news_at or had_at, had_at)
    gateway.pools.updated_at = now
    link.gateways = news.reporting
    _apply_gateways(gateway, news)
    if news.standbys:
        link.standbys = tuple(NodeId(name) for name in news.standbys)
    _apply_loads(gateway, now, news)
    if not gateway.control.leading:
        hear_limits(gateway, now, news.limits)
    for owners in news.owners:
        _apply_owners(gateway, owners)
    return []


def _apply_loads(gateway: Gateway, now: Seconds, news: News) -> None:
    link = gateway.link
    if news.servers_whole:
        link.loads.clear()
    for load in news.loads:
        link.loads[load.tag] = load
        server = gateway.registry.by_tag.get(load.tag)
        if server is not None:
            pool = gateway.pools.find(server.life)
            pool.apply_load(load.busy, load.service_time, now)


def hear_limits(
    gateway: Gateway, now: Seconds, limits: tuple[ServerLimit, ...]
) -> None:
    """Record the limits that another gateway tells."""
    for limit in limits:
        server = gateway.registry.by_tag.get(limit.tag)
        if server is not None:
            gateway.limits.hear(server.life, limit.rate, now)


def _apply_gateways(gateway: Gateway, news: News) -> None:
    if news.gateways:
        link = gateway.link
        link.known.update({peer.node: peer for peer in news.gateways})
        link.members = tuple(sorted(peer.node for peer in news.gateways))


def _handle_news(gateway: Gateway, now: Seconds, news: News) -> Effects:
    link = gateway.link
    if link.relay is not None and news.controller is not None:
        # The relay knows of a new controller first.
        _follow_relay(link, news.controller)
    address = link.address
    if address is None:
        return []
    if address.run != news.run:
        return _leave_former(gateway, now, news)
    effects: Effects = []
    if link.told_at is None:
        via = '' if link.relay is None else link.relay.node
        linked = log_event(
            Component.peers, 'linked', controller=address.node, relay=via
        )
        effects.append(linked)
        link.lost_relay = NodeId('')
    link.term = news.term
    effects.extend(_log_late(gateway, now, news))
    effects.extend(_apply_servers(gateway, now, news))
    effects.extend(apply_news(gateway, now, news))
    if is_linked(gateway, now):
        link.controller_seen_at = now
    built_at = link.clock.find_built_at(news.stamp, now)
    if news.configuration <= gateway.version and news.drained is not None:
        # Otherwise the version here is an old one, whatever its age; and a
        # gateway of an earlier version does not tell the drained zones.
        link.configuration_read_at = Seconds(built_at - news.configuration_age)
    return [*effects, *_check_configuration(gateway, now, news)]


def _leave_former(gateway: Gateway, now: Seconds, news: News) -> Effects:
    """Connect to the controller that a former one names."""
    named = news.controller
    if named is None or gateway.control.leading:
        return []
    if named == gateway.own_address():
        # The sender does not know yet that this gateway has stepped down.
        return []
    return dial(gateway, now, named)


def _follow_relay(link: LinkState, controller: GatewayAddress) -> None:
    if link.awaited == controller:
        link.awaited = None
    known = link.address
    if known is None or known.run != controller.run:
        link.address = controller
        link.term = 0


def _log_late(gateway: Gateway, now: Seconds, news: News) -> Effects:
    link = gateway.link
    age = now - link.clock.find_built_at(news.stamp, now)
    if age < _LATE_UPDATE or now < link.late_line_at:
        return []
    link.late_line_at = Seconds(now + _LATE_LINE_INTERVAL)
    line = log_event(
        Component.peers,
        'update is late',
        age=round(age, 3),
        controller_age=round(news.controller_age, 3),
        relay='' if link.relay is None else link.relay.node,
    )
    return [line]


def is_copy_overdue(gateway: Gateway, now: Seconds) -> bool:
    """Return whether a newer configuration has to be read from the store."""
    wanted = gateway.link.wanted_since
    return wanted is not None and now - wanted >= _COPY_TIMEOUT


def _check_configuration(
    gateway: Gateway,
    now: Seconds,
    news: News,
) -> Effects:
    link = gateway.link
    if news.configuration <= gateway.version:
        link.wanted_since = None
        _skip_known_records(gateway, news)
        return []
    if link.wanted_since is None:
        link.wanted_since = now
        return _ask_configuration(gateway, now, news.configuration)
    if now - link.asked_at < _COPY_TIMEOUT:
        return []
    read = SetTimer(TimerKind.read_configuration, Seconds(0))
    return [read, *_ask_configuration(gateway, now, news.configuration)]


def _skip_known_records(gateway: Gateway, news: News) -> None:
    """Read on after the records of versions that are known here."""
    state = gateway.topics[Topic.configuration]
    if state.next_offset is None or news.era != gateway.era or state.reading:
        return
    if news.drained is None:
        # A drain may be among the records.
        return
    state.next_offset = max(state.next_offset, news.configuration_end)


def request_configuration(
    gateway: Gateway,
    now: Seconds,
    report: Report,
) -> Effects:
    """Request the configuration of a gateway that reports a newer one.

    The store may have had that version and lost it.
    """
    version = report.configuration
    if version <= gateway.version:
        return []
    if now - gateway.link.asked_at < _COPY_TIMEOUT:
        return []
    gateway.link.asked_at = now
    line = log_event(
        Component.peers,
        'asking a gateway for the configuration',
        node=report.gateway.node,
        known=gateway.version,
        wanted=version,
    )
    return [line, AskConfiguration(gateway.version, report.gateway.node)]


def _ask_configuration(
    gateway: Gateway,
    now: Seconds,
    version: Version,
) -> Effects:
    gateway.link.asked_at = now
    line = log_event(
        Component.peers,
        'asking the controller for the configuration',
        known=gateway.version,
        wanted=version,
    )
    return [line, AskConfiguration(gateway.version)]


def _apply_servers(gateway: Gateway, now: Seconds, news: News) -> Effects:
    registry = gateway.registry
    _record_read(gateway, now, news)
    present = {entry.life.server for entry in news.servers}
    if news.servers_whole:
        missing = registry.servers.keys() - present
        missing |= registry.list_rewritten(news.servers)
        read_at = gateway.link.servers_read_at or now
        registry.lapses.review_missing(registry.servers, missing, read_at)
    changed = [server for server in news.servers if registry.put(server, now)]
    # The controller has deferred the removal if necessary.
    removed = [ServerId(name) for name in news.removed]
    gone = [name for name in removed if registry.discard(name)]
    if not news.servers_whole:
        gateway.link.deferred -= present.union(removed)
        return _log_changes(changed, gone)
    deferred = frozenset(ServerId(entry) for entry in news.doubted)
    gateway.link.deferred = deferred
    gone.extend(registry.keep_only(present | deferred, now))
    line = log_event(
        Component.peers,
        'servers told',
        servers=len(news.servers),
        changed=len(changed),
        gone=len(gone),
        age=round(news.servers_age, 3),
    )
    return [line]


def _record_read(gateway: Gateway, now: Seconds, news: News) -> None:
    """Record as of when the servers' entries are known."""
    link = gateway.link
    built_at = link.clock.find_built_at(news.stamp, now)
    read_at = Seconds(built_at - news.servers_age)
    link.complete = link.complete or news.servers_whole
    if link.complete:
        # Changes do not replace a read of all entries.
        link.servers_read_at = read_at
    lapses = gateway.registry.lapses
    lapses.record_read(read_at, read_at, gateway.options.heartbeat)


def _log_changes(changed: list[Server], gone: list[ServerId]) -> Effects:
    """Log each change, or one summary if there are many."""
    total = len(changed) + len(gone)
    if total > _MAX_LINES:
        line = log_event(
            Component.peers,
            'servers changed',
            changed=len(changed),
            gone=len(gone),
        )
        return [line]
    effects: Effects = [
        log_server_change(Component.peers, server) for server in changed
    ]
    for name in gone:
        effects.append(log_event(Component.peers, 'server gone', server=name))
    return effects


def log_server_change(component: Component, server: Server) -> WriteDecision:
    """Build the log line about a changed entry of a server."""
    return log_event(
        component,
        'server changed',
        server=server.life.server,
        born=server.life.born,
        service=server.service,
        draining=server.draining,
        cold_for=server.warm_up_left,
    )


def _apply_owners(gateway: Gateway, owners: OwnerNews) -> None:
    known = gateway.owners.get(owners.service)
    if known is not None and _is_newer(known, owners):
        return
    gateway.replace_owners(
        owners.service, OwnerMap(owners.entries), owners.position
    )


def _is_newer(known: ServiceOwners, owners: OwnerNews) -> bool:
    # A provisional table names none, and those of an earlier one may still hold.
    return bool(known.owners.entries) and owners.position < known.position


def leave_relay(gateway: Gateway, now: Seconds) -> Effects:
    """Leave a relay that does not find the controller."""
    link = gateway.link
    if link.relay is None:
        return []
    awaited = link.awaited
    if awaited is not None and now - link.awaited_since > _RELAY_CHANGE_TIME:
        link.address = awaited
        link.term = 0
        return _handle_relay_lost(gateway, now, link.relay)
    since = max(link.news_at or Seconds(0), link.dialed_at or Seconds(0))
    if now - since > _MAX_RELAY_SEARCH:
        return _handle_relay_lost(gateway, now, link.relay)
    return []


def _handle_relay(
    gateway: Gateway, now: Seconds, relay: GatewayAddress
) -> Effects:
    link = gateway.link
    if gateway.control.leading or relay == gateway.own_address():
        return []
    link.relay = relay
    link.awaited = None
    _begin_connection(link, now)
    line = log_event(Component.peers, 'relay is named', relay=relay.node)
    # Those that are connected here get the state from that relay as well.
    return [line, *drop_peers(gateway), DialController(relay)]


def drop_peers(gateway: Gateway) -> Effects:
    """Close the connections of other gateways to this one."""
    if not gateway.connected.nodes:
        return []
    gateway.connected.clear()
    return [DropPeers()]


def _handle_link_lost(gateway: Gateway, now: Seconds) -> Effects:
    link = gateway.link
    if link.relay is not None:
        return _handle_relay_lost(gateway, now, link.relay)
    if link.told_at is None:
        return []
    link.controller_seen_at = now
    link.dialed_at = None
    link.news_at = None
    link.told_at = None
    link.complete = False
    link.clock.reset()
    return [
        SetTimer(TimerKind.read_configuration, Seconds(0)),
        log_event(Component.peers, 'link to the controller lost'),
        SetTimer(TimerKind.read_ownership, Seconds(0)),
        SetTimer(TimerKind.read_servers, Seconds(0)),
    ]


def _handle_relay_lost(
    gateway: Gateway, now: Seconds, relay: GatewayAddress
) -> Effects:
    """Connect to the controller itself; what is known stays known."""
    link = gateway.link
    link.relay = None
    link.lost_relay = relay.node
    link.awaited = None
    _begin_connection(link, now)
    line = log_event(
        Component.peers, 'link to the relay lost', relay=relay.node
    )
    return [line, DialController(link.address)]
