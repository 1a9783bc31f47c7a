"""Report to the controller, and learn from what it tells."""

from dataclasses import replace

from trefoilsaddle.core.units import NodeId, Seconds, ServerId, Version
from trefoilsaddle.gateway.effects import (
    AskConfiguration,
    DialController,
    Effects,
    Part,
    SendReport,
    SetTimer,
    WriteDecision,
)
from trefoilsaddle.gateway.events import (
    Event,
    LinkLost,
    NewsReceived,
    Started,
    TimerKind,
)
from trefoilsaddle.gateway.journal import note
from trefoilsaddle.gateway.peermessages import (
    KeyCount,
    KeyCounts,
    News,
    OwnerNews,
    Report,
    ServerUse,
)
from trefoilsaddle.gateway.pools import Pool
from trefoilsaddle.gateway.rounding import round_load, round_time
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.state import Gateway, ServiceOwners
from trefoilsaddle.gateway.table import GatewayAddress, OwnerMap

# Time that the controller's copy of a configuration has before the store is
# read: copies of 65 KB for 45 gateways take 0.8 s of a link of 30 Mbit/s
# between regions, and a version has to be in force within 2.5 s.
_COPY_PATIENCE = Seconds(0.8)
# Changes of servers that are told in lines of their own.
_MOST_LINES = 4
# News older than this tells nothing; it comes twice a second.
_NEWS_AGE = Seconds(1.4)


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Take news and the end of the connection."""
    match event:
        case Started():
            pause = gateway.options.report_interval
            return [SetTimer(TimerKind.report, pause)]
        case NewsReceived():
            return _take_news(gateway, now, event.news)
        case LinkLost():
            return _lose_link(gateway, now)
    return []


def is_linked(gateway: Gateway, now: Seconds) -> bool:
    """Tell whether the controller's news is fresh."""
    told = gateway.link.news_at
    return told is not None and now - told <= _NEWS_AGE


def dial(gateway: Gateway, address: GatewayAddress) -> Effects:
    """Connect to the controller that the newest table names."""
    link = gateway.link
    if link.address == address:
        return []
    link.address = address
    link.news_at = None
    link.servers_read_at = None
    link.complete = False
    if address == gateway.own_address():
        return [DialController(None)]
    line = note(
        Part.peers,
        'controller is another gateway',
        controller=address.node,
    )
    return [DialController(address), line]


def build_report(gateway: Gateway, now: Seconds) -> Report:
    """Sum up the requests since the last report."""
    elapsed = Seconds(now - gateway.reported_at)
    gateway.reported_at = now
    pools = gateway.pools.by_life.values()
    uses = (_sum_up(pool, now, elapsed) for pool in pools)
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
    )


def _sum_up(pool: Pool, now: Seconds, elapsed: Seconds) -> ServerUse | None:
    use = pool.take_use(pool.take_mean(now, elapsed))
    if use.busy or use.succeeded or use.failed:
        return replace(
            use,
            busy=round_load(use.busy),
            sampled=round_time(use.sampled),
        )
    return None


def send_report(gateway: Gateway, report: Report) -> Effects:
    """Send a report, if a controller is known."""
    address = gateway.link.address
    if address is None or address == gateway.own_address():
        return []
    return [SendReport(report)]


def apply_news(gateway: Gateway, now: Seconds, news: News) -> Effects:
    """Believe what the controller tells."""
    link = gateway.link
    link.news_at = now
    gateway.pools.told_at = now
    link.gateways = news.reporting
    link.known.update({peer.node: peer for peer in news.gateways})
    if news.standbys:
        link.standbys = tuple(NodeId(name) for name in news.standbys)
    for load in news.loads:
        server = gateway.registry.by_tag.get(load.tag)
        if server is not None:
            pool = gateway.pools.find(server.life)
            pool.learn_load(load.busy, load.service_time, now)
    for owners in news.owners:
        _learn_owners(gateway, owners)
    return []


def _take_news(gateway: Gateway, now: Seconds, news: News) -> Effects:
    address = gateway.link.address
    if address is None or address.run != news.run:
        return []
    effects: Effects = []
    if gateway.link.news_at is None:
        effects.append(note(Part.peers, 'linked', controller=address.node))
    effects.extend(_learn_servers(gateway, now, news))
    effects.extend(apply_news(gateway, now, news))
    age = news.configuration_age
    gateway.link.configuration_read_at = Seconds(now - age)
    return [*effects, *_want_configuration(gateway, now, news.configuration)]


def is_copy_overdue(gateway: Gateway, now: Seconds) -> bool:
    """Tell whether a newer configuration has to be read in the store."""
    wanted = gateway.link.wanted_since
    return wanted is not None and now - wanted >= _COPY_PATIENCE


def _want_configuration(
    gateway: Gateway,
    now: Seconds,
    version: Version,
) -> Effects:
    link = gateway.link
    if version <= gateway.version:
        link.wanted_since = None
        return []
    if link.wanted_since is None:
        link.wanted_since = now
        return _ask_configuration(gateway, now, version)
    if now - link.asked_at < _COPY_PATIENCE:
        return []
    read = SetTimer(TimerKind.read_configuration, Seconds(0))
    return [read, *_ask_configuration(gateway, now, version)]


def _ask_configuration(
    gateway: Gateway,
    now: Seconds,
    version: Version,
) -> Effects:
    gateway.link.asked_at = now
    line = note(
        Part.peers,
        'asking the controller for the configuration',
        known=gateway.version,
        wanted=version,
    )
    return [line, AskConfiguration(gateway.version)]


def _learn_servers(gateway: Gateway, now: Seconds, news: News) -> Effects:
    registry = gateway.registry
    link = gateway.link
    read_at = Seconds(now - news.servers_age)
    link.complete = link.complete or news.servers_whole
    if link.complete:
        # Changes alone do not replace a look at all entries.
        link.servers_read_at = read_at
    registry.confirm(read_at)
    changed = [server for server in news.servers if registry.put(server, now)]
    removed = [ServerId(name) for name in news.removed]
    gone = [name for name in removed if registry.remove(name, now)]
    if not news.servers_whole:
        return _note_changes(changed, gone)
    present = {entry.life.server for entry in news.servers}
    doubted = {ServerId(entry) for entry in news.doubted}
    gone.extend(registry.keep_only(present | doubted, now))
    line = note(
        Part.peers,
        'servers told',
        servers=len(news.servers),
        changed=len(changed),
        gone=len(gone),
        age=round(news.servers_age, 3),
    )
    return [line]


def _note_changes(changed: list[Server], gone: list[ServerId]) -> Effects:
    """Write a line for each change, or one if many come together."""
    total = len(changed) + len(gone)
    if total > _MOST_LINES:
        line = note(
            Part.peers,
            'servers changed',
            changed=len(changed),
            gone=len(gone),
        )
        return [line]
    effects: Effects = [note_change(Part.peers, server) for server in changed]
    for name in gone:
        effects.append(note(Part.peers, 'server gone', server=name))
    return effects


def note_change(part: Part, server: Server) -> WriteDecision:
    """Describe what a server says anew of itself."""
    return note(
        part,
        'server changed',
        server=server.life.server,
        born=server.life.born,
        service=server.service,
        draining=server.draining,
    )


def _learn_owners(gateway: Gateway, owners: OwnerNews) -> None:
    known = gateway.owners.get(owners.service)
    if known is not None and owners.offset < known.offset:
        return
    gateway.owners[owners.service] = ServiceOwners(
        OwnerMap(owners.entries),
        owners.offset,
    )
    gateway.owners_changed = True


def _lose_link(gateway: Gateway, now: Seconds) -> Effects:
    if gateway.link.news_at is None:
        return []
    gateway.link.led_at = now
    gateway.link.news_at = None
    gateway.link.servers_read_at = None
    gateway.link.complete = False
    gateway.link.configuration_read_at = None
    return [
        SetTimer(TimerKind.read_configuration, Seconds(0)),
        note(Part.peers, 'link to the controller lost'),
        SetTimer(TimerKind.read_ownership, Seconds(0)),
        SetTimer(TimerKind.read_servers, Seconds(0)),
    ]
