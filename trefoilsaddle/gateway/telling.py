"""Tell gateways what the controller knows: owners, servers and loads."""

from dataclasses import replace

from trefoilsaddle.core.units import NodeId, Seconds, ServerId
from trefoilsaddle.gateway.control import ControlState, KeyedControl
from trefoilsaddle.gateway.effects import (
    AnnounceTable,
    Effects,
    SendConfiguration,
    SendNews,
)
from trefoilsaddle.gateway.events import Topic
from trefoilsaddle.gateway.peermessages import News, OwnerNews, ServerLoad
from trefoilsaddle.gateway.peers import apply_news
from trefoilsaddle.gateway.rounding import round_load, round_time
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import GatewayAddress

# Changes within this time are told together.
_GATHER = Seconds(0.04)
# Least change of a load that is told: requests, and part of a time.
_BUSY_STEP = 0.4
_TIME_STEP = 0.1
# A new controller tells gateways that have not connected, at this pace and
# for this time; the store is away for less.
_ANNOUNCE_PAUSE = Seconds(0.7)
_ANNOUNCE_TIME = Seconds(15)
# Between two groups of newcomers that are told everything.
_WELCOME_PAUSE = Seconds(0.1)
# Part of this machine's link that such news may fill.
_WELCOME_SHARE = 0.5
# News of everything with 165 servers and 90 gateways, compressed; in Mbit.
_WHOLE_SIZE = 0.07
# Each takes 0.7 ms of a core: a tenth of the pause on half a core at most.
_MOST_WELCOMED = 8
# Gateways that may be lost with the controller before slower ones step in.
_STANDBYS = 4
# Part of the fastest gateway's speed that a standby has at least: the store
# may choose any of them.
_LIKE_FASTEST = 0.5
# A new controller knows the speeds of most gateways after this time.
_SETTLING = Seconds(2)


def welcome(gateway: Gateway, now: Seconds, node: NodeId) -> Effects:
    """Tell a gateway that has just connected everything, in its turn."""
    if not gateway.control.leading:
        return []
    gateway.link.newcomers.append(node)
    return tell_newcomers(gateway, now)


def tell_newcomers(gateway: Gateway, now: Seconds) -> Effects:
    """Tell some of the gateways that wait for it everything.

    Grants share the link and the processor, so the rest waits.
    """
    link = gateway.link
    if not link.newcomers or now < link.welcome_at:
        return []
    link.welcome_at = Seconds(now + _WELCOME_PAUSE)
    room = gateway.options.link_rate * _WELCOME_SHARE * _WELCOME_PAUSE
    most = max(int(room / _WHOLE_SIZE), 1)
    told = link.newcomers[: min(most, _MOST_WELCOMED)]
    link.newcomers = link.newcomers[len(told) :]
    news = _describe_all(gateway, now)
    return [SendNews(news, node) for node in told]


def _describe_all(gateway: Gateway, now: Seconds) -> News:
    servers = tuple(_list_sure(gateway).values())
    owners = tuple(
        _describe_owners(keyed) for keyed in gateway.control.keyed.values()
    )
    return _build_news(gateway, now, servers, (), owners, whole=True)


def tell_changes(gateway: Gateway, now: Seconds) -> Effects:
    """Tell all gateways what has changed, and that this one lives."""
    control = gateway.control
    if now < control.tell_after:
        return []
    owners = tuple(
        _describe_owners(keyed)
        for keyed in control.keyed.values()
        if _has_changed(control, keyed)
    )
    servers = _find_changed_servers(gateway)
    removed = _find_removed(gateway)
    due = now >= control.tell_at
    if not (owners or servers or removed or due):
        return []
    control.tell_after = Seconds(now + _GATHER)
    _remember_told(gateway)
    loads: tuple[ServerLoad, ...] = ()
    if due:
        control.tell_at = Seconds(now + gateway.options.report_interval)
        loads = _take_changed_loads(gateway, now)
    news = _build_news(gateway, now, servers, removed, owners, whole=False)
    news = replace(news, loads=loads)
    return [SendNews(news), *apply_news(gateway, now, news)]


def _take_changed_loads(
    gateway: Gateway,
    now: Seconds,
) -> tuple[ServerLoad, ...]:
    told = gateway.control.told_loads
    changed = tuple(
        load
        for load in _list_loads(gateway, now)
        if _differs(told.get(load.tag), load)
    )
    for load in changed:
        told[load.tag] = load
    return changed


def _differs(told: ServerLoad | None, load: ServerLoad) -> bool:
    if told is None:
        return True
    if abs(told.busy - load.busy) > _BUSY_STEP:
        return True
    step = told.service_time * _TIME_STEP
    return abs(told.service_time - load.service_time) > step


def announce(gateway: Gateway, now: Seconds) -> Effects:
    """Tell gateways that have not connected where the controller is.

    They may be unable to read it in the store.
    """
    control = gateway.control
    if now < control.announce_at:
        return []
    control.announce_at = Seconds(now + _ANNOUNCE_PAUSE)
    if now - control.leading_since > _ANNOUNCE_TIME:
        return []
    tables = [
        stored
        for stored in gateway.tables.values()
        if stored.table.controller == gateway.own_address()
    ]
    absent = [
        peer
        for node, peer in gateway.link.known.items()
        if node not in control.reporters and node != gateway.options.node
    ]
    return [AnnounceTable(peer, tables[0]) for peer in absent if tables]


def pass_configuration(gateway: Gateway, node: NodeId) -> Effects:
    """Pass the configuration on to a gateway that asks for it."""
    configuration = gateway.configuration
    if configuration is None:
        return []
    return [SendConfiguration(node, configuration.encoded)]


def _has_changed(control: ControlState, keyed: KeyedControl) -> bool:
    told = control.told_change.get(keyed.service)
    return told != keyed.partitions.change


def _find_changed_servers(gateway: Gateway) -> tuple[Server, ...]:
    told = gateway.control.told_servers
    return tuple(
        server
        for name, server in _list_sure(gateway).items()
        if told.get(name) != server
    )


def _list_sure(gateway: Gateway) -> dict[ServerId, Server]:
    registry = gateway.registry
    return {
        name: server
        for name, server in registry.servers.items()
        if name not in registry.doubted
    }


def _find_removed(gateway: Gateway) -> tuple[str, ...]:
    return tuple(
        name
        for name in gateway.control.told_servers
        if name not in gateway.registry.servers
    )


def _remember_told(gateway: Gateway) -> None:
    control = gateway.control
    known = gateway.registry.servers
    told = {
        name: server
        for name, server in control.told_servers.items()
        if name in known
    }
    control.told_servers = told | _list_sure(gateway)
    for keyed in control.keyed.values():
        control.told_change[keyed.service] = keyed.partitions.change


def _describe_owners(keyed: KeyedControl) -> OwnerNews:
    partitions = keyed.partitions
    return OwnerNews(
        keyed.service,
        keyed.offset,
        partitions.list_entries(),
    )


def _build_news(
    gateway: Gateway,
    now: Seconds,
    servers: tuple[Server, ...],
    removed: tuple[str, ...],
    owners: tuple[OwnerNews, ...],
    *,
    whole: bool,
) -> News:
    return News(
        run=gateway.options.run,
        reporting=max(len(gateway.control.reporters), 1),
        gateways=_list_gateways(gateway, whole=whole),
        configuration=gateway.version,
        configuration_age=_find_age(gateway, Topic.configuration, now),
        servers_age=_find_age(gateway, Topic.servers, now),
        servers_whole=whole,
        servers=servers,
        removed=removed,
        owners=owners,
        loads=_list_loads(gateway, now) if whole else (),
        doubted=tuple(gateway.registry.doubted) if whole else (),
        standbys=_list_standbys(gateway, now, whole=whole),
    )


def _list_standbys(
    gateway: Gateway,
    now: Seconds,
    *,
    whole: bool,
) -> tuple[NodeId, ...]:
    """Return the fastest gateways, or none if they were told before."""
    if now - gateway.control.leading_since < _SETTLING:
        return ()
    speeds = gateway.link.speeds
    nodes = gateway.control.reporters.keys() & speeds.keys()
    least = max((speeds[node] for node in nodes), default=0) * _LIKE_FASTEST
    swift = [node for node in nodes if speeds[node] >= least]
    ordered = sorted(swift, key=lambda node: (-speeds[node], node))
    own = gateway.options.node
    chosen = [node for node in ordered if node != own][:_STANDBYS]
    standbys = (own, *chosen)
    if standbys == gateway.link.standbys and not whole:
        return ()
    return standbys


def _find_age(gateway: Gateway, topic: Topic, now: Seconds) -> Seconds:
    read_at = gateway.topics[topic].read_at
    return round_time(Seconds(now if read_at is None else now - read_at))


def _list_gateways(
    gateway: Gateway,
    *,
    whole: bool,
) -> tuple[GatewayAddress, ...]:
    control = gateway.control
    if not whole:
        if control.told_gateways == set(control.reporters):
            return ()
        # What a newcomer is told the others have not heard.
        control.told_gateways = set(control.reporters)
    return tuple(
        peer
        for node, peer in gateway.link.known.items()
        if node in control.reporters
    )


def _list_loads(gateway: Gateway, now: Seconds) -> tuple[ServerLoad, ...]:
    listed: list[ServerLoad] = []
    for service, loads in gateway.control.loads.items():
        mean = loads.mean_time()
        for server in gateway.registry.list_service(service):
            life = server.life
            time = loads.service_time(life, mean)
            busy = loads.busy(life, now)
            load = ServerLoad(life.tag, round_load(busy), round_time(time))
            listed.append(load)
    return tuple(listed)
