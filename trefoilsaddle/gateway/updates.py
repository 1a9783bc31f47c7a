"""Send state to the connected gateways: owners, servers and loads."""

from dataclasses import replace

from trefoilsaddle.core.units import NO_OFFSET, NodeId, Seconds
from trefoilsaddle.gateway.effects import (
    AnnounceController,
    Effects,
    SendConfiguration,
    SendNews,
)
from trefoilsaddle.gateway.election import (
    holds_unstored,
    is_store_reachable,
)
from trefoilsaddle.gateway.events import Topic
from trefoilsaddle.gateway.pacing import (
    find_batching_delay,
    find_report_interval,
)
from trefoilsaddle.gateway.peermessages import (
    ControllerAnnouncement,
    News,
    OwnerNews,
    ServerLoad,
)
from trefoilsaddle.gateway.peers import apply_news
from trefoilsaddle.gateway.restoring import list_waits
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.sources import Origin, StateSource, find_source
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import GatewayAddress

# Smallest change of a load that is sent: in requests, and as a fraction of a
# request time.
_BUSY_STEP = 0.4
_TIME_STEP = 0.1
# A new controller announces itself to gateways that are not connected at this
# interval and for this time; outages of the store are shorter.
_ANNOUNCE_INTERVAL = Seconds(0.7)
_ANNOUNCE_TIME = Seconds(15)
# Report intervals without a report after which a gateway may have restarted.
_MISSED_REPORTS = 3
# Interval between two groups of gateways that get the full state.
_FULL_UPDATE_INTERVAL = Seconds(0.1)
# Fraction of this machine's link that full updates may use.
_FULL_UPDATE_LINK_FRACTION = 0.5
# Size of one server's or gateway's entry in a compressed full update, in Mbit,
# and the processor time to send it at full speed.
_ENTRY_SIZE = 0.00027
_ENTRY_TIME = Seconds(0.000003)
# Entries that are assumed at least, as many servers may register at once.
_MIN_ENTRIES = 255
# Fraction of this machine's processor that full updates may use.
_FULL_UPDATE_CORE_FRACTION = 0.1


def queue_full_update(gateway: Gateway, now: Seconds, node: NodeId) -> Effects:
    """Queue the full state for a gateway that has just connected."""
    gateway.connected.awaiting_update.append(node)
    return send_full_updates(gateway, now)


def send_full_updates(gateway: Gateway, now: Seconds) -> Effects:
    """Send the full state to some of the gateways that wait for it.

    Grants share the link and the processor with these messages, so the other
    gateways wait.
    """
    connected = gateway.connected
    if not connected.awaiting_update or now < connected.full_update_at:
        return []
    source = find_source(gateway, now)
    origin = source.find_origin()
    if origin is None:
        return []
    connected.full_update_at = Seconds(now + _FULL_UPDATE_INTERVAL)
    most = _count_full_updates(gateway)
    sent = connected.awaiting_update[:most]
    connected.awaiting_update = connected.awaiting_update[most:]
    news = _build_full_news(source, origin)
    return [SendNews(news, node) for node in sent]


def _count_full_updates(gateway: Gateway) -> int:
    """Return how many full updates may be sent in one interval."""
    options = gateway.options
    listed = len(gateway.registry.servers) + len(gateway.link.known)
    entries = max(listed, _MIN_ENTRIES)
    by_link = options.link_rate * _FULL_UPDATE_LINK_FRACTION / _ENTRY_SIZE
    by_core = options.speed * _FULL_UPDATE_CORE_FRACTION / _ENTRY_TIME
    each_second = min(by_link, by_core) / entries
    return max(int(each_second * _FULL_UPDATE_INTERVAL), 1)


def _build_full_news(source: StateSource, origin: Origin) -> News:
    owners = tuple(
        source.describe_owners(service) for service in source.list_owners()
    )
    news = _build_news(source, origin)
    return replace(
        news,
        gateways=source.list_gateways(),
        servers_whole=True,
        servers=tuple(source.list_servers().values()),
        owners=owners,
        loads=source.list_loads(),
        doubted=tuple(source.list_deferred()),
        standbys=source.list_standbys(),
    )


def broadcast_changes(gateway: Gateway, now: Seconds) -> Effects:
    """Send changes to all gateways, and a periodic update without any."""
    connected = gateway.connected
    if now < connected.update_not_before:
        return []
    source = find_source(gateway, now)
    origin = source.find_origin()
    if origin is None:
        return []
    due = now >= connected.update_due_at
    news = _find_changes(source, origin)
    if not (due or _tells_change(gateway, news)):
        return []
    connected.update_not_before = Seconds(now + find_batching_delay(gateway))
    _record_sent(source)
    if due:
        connected.update_due_at = Seconds(now + find_report_interval(gateway))
        loads = _pop_changed_loads(source)
        news = replace(
            news, loads=loads, gateways=_pop_changed_gateways(source)
        )
    waiting = frozenset(connected.untold)
    effects: Effects = [SendNews(news, excluded=waiting)]
    if gateway.control.leading:
        effects.extend(apply_news(gateway, now, news))
    return effects


def _find_changes(source: StateSource, origin: Origin) -> News:
    news = _build_news(source, origin)
    return replace(
        news,
        servers=_find_changed_servers(source),
        removed=_find_removed(source),
        owners=_find_changed_owners(source),
        standbys=_find_changed_standbys(source),
    )


def _tells_change(gateway: Gateway, news: News) -> bool:
    changed = news.owners or news.servers or news.removed
    connected = gateway.connected
    newer = news.configuration != connected.configuration
    drained = gateway.drained.zones != connected.drained.zones
    return bool(changed) or newer or drained


def _pop_changed_loads(source: StateSource) -> tuple[ServerLoad, ...]:
    sent = source.gateway.connected.loads
    changed = tuple(
        load
        for load in source.list_loads()
        if _differs(sent.get(load.tag), load)
    )
    for load in changed:
        sent[load.tag] = load
    return changed


def _differs(sent: ServerLoad | None, load: ServerLoad) -> bool:
    if sent is None:
        return True
    if abs(sent.busy - load.busy) > _BUSY_STEP:
        return True
    step = sent.service_time * _TIME_STEP
    return abs(sent.service_time - load.service_time) > step


def announce_controller(gateway: Gateway, now: Seconds) -> Effects:
    """Announce the controller to gateways that are not connected.

    They may be unable to read its table from the store.
    """
    control = gateway.control
    if now < control.announce_at:
        return []
    control.announce_at = Seconds(now + _ANNOUNCE_INTERVAL)
    announcement = _build_announcement(gateway, now)
    if announcement is None or not _may_be_unknown(gateway, now):
        return []
    return [
        AnnounceController(peer, announcement)
        for node, peer in gateway.link.known.items()
        if node != gateway.options.node and _is_silent(gateway, node, now)
    ]


def _may_be_unknown(gateway: Gateway, now: Seconds) -> bool:
    """Return whether a gateway may not learn of this controller otherwise."""
    if now - gateway.control.leading_since <= _ANNOUNCE_TIME:
        return True
    # One that has restarted meanwhile finds no table of this controller.
    reachable = is_store_reachable(gateway, now)
    return not reachable or holds_unstored(gateway, now)


def _is_silent(gateway: Gateway, node: NodeId, now: Seconds) -> bool:
    reported_at = gateway.control.reporters.get(node)
    if reported_at is None:
        return True
    interval = find_report_interval(gateway)
    return now - reported_at > interval * _MISSED_REPORTS


def _build_announcement(
    gateway: Gateway, now: Seconds
) -> ControllerAnnouncement | None:
    own = gateway.own_address()
    tables = [
        stored
        for stored in gateway.tables.values()
        if stored.table.controller == own
    ]
    if not tables:
        return None
    newest = max(stored.position for stored in tables)
    return ControllerAnnouncement(
        own,
        newest.offset,
        newest.era,
        list_waits(gateway, now),
        provisional=all(stored.table.provisional for stored in tables),
    )


def send_configuration(gateway: Gateway, node: NodeId | None) -> Effects:
    """Send the configuration to the gateway that requested it."""
    configuration = gateway.configuration
    if configuration is None:
        return []
    return [SendConfiguration(node, configuration.encoded)]


def _find_changed_owners(source: StateSource) -> tuple[OwnerNews, ...]:
    sent = source.gateway.connected.owners
    return tuple(
        source.describe_owners(service)
        for service, revision in source.list_owners().items()
        if sent.get(service) != revision
    )


def _find_changed_servers(source: StateSource) -> tuple[Server, ...]:
    sent = source.gateway.connected.servers
    return tuple(
        server
        for name, server in source.list_servers().items()
        if sent.get(name) != server
    )


def _find_removed(source: StateSource) -> tuple[str, ...]:
    gateway = source.gateway
    return tuple(
        name
        for name in gateway.connected.servers
        if name not in gateway.registry.servers
    )


def _record_sent(source: StateSource) -> None:
    gateway = source.gateway
    connected = gateway.connected
    known = gateway.registry.servers
    sent = {
        name: server
        for name, server in connected.servers.items()
        if name in known
    }
    connected.servers = sent | source.list_servers()
    connected.owners = source.list_owners()
    connected.configuration = gateway.version
    connected.drained = gateway.drained


def _build_news(source: StateSource, origin: Origin) -> News:
    gateway = source.gateway
    end = gateway.topics[Topic.configuration].next_offset
    return News(
        run=origin.controller.run,
        reporting=origin.reporting,
        gateways=(),
        configuration=gateway.version,
        configuration_age=source.find_age(Topic.configuration),
        servers_age=source.find_age(Topic.servers),
        servers_whole=False,
        servers=(),
        removed=(),
        owners=(),
        loads=(),
        term=origin.term,
        limits=gateway.limits.list_heard(source.now),
        stamp=source.now,
        controller=origin.controller,
        controller_age=origin.age,
        configuration_end=NO_OFFSET if end is None else end,
        era=gateway.era,
        drained=gateway.drained,
    )


def _find_changed_standbys(source: StateSource) -> tuple[NodeId, ...]:
    """Return the standbys, or none if they were sent before."""
    standbys = source.list_standbys()
    if standbys == source.gateway.connected.standbys:
        return ()
    return standbys


def _pop_changed_gateways(source: StateSource) -> tuple[GatewayAddress, ...]:
    connected = source.gateway.connected
    listed = source.list_gateways()
    nodes = frozenset(peer.node for peer in listed)
    if nodes == connected.gateways:
        return ()
    connected.gateways = nodes
    return listed
