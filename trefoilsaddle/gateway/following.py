"""Read the configuration, the servers and the ownership tables.

Each topic is read completely once and then from where the last read ended;
servers and tables only after the first configuration, as they mean nothing
before. A gateway leaves the reading to the controller, or to its relay, while
what they tell is provably recent; it reads a topic itself once that is too old,
and completely if its own last read is old.
"""

from collections.abc import Mapping
from types import MappingProxyType

from trefoilsaddle.core.units import Seconds, ServerId, StoreEra
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import (
    Component,
    Effects,
    ReadTopic,
    SetTimer,
    WriteDecision,
)
from trefoilsaddle.gateway.election import (
    holds_unstored,
    may_renew,
    step_down,
)
from trefoilsaddle.gateway.events import (
    ConfigurationCopied,
    ControllerAnnounced,
    Event,
    ReadVerdict,
    Started,
    TimerExpired,
    TimerKind,
    Topic,
    TopicRead,
)
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.peermessages import ControllerAnnouncement
from trefoilsaddle.gateway.peers import (
    dial,
    is_connecting,
    is_copy_overdue,
    is_linked,
    is_told,
    log_server_change,
)
from trefoilsaddle.gateway.servers import (
    Server,
    ServerChange,
    ServerRemoved,
)
from trefoilsaddle.gateway.state import Gateway, TopicState
from trefoilsaddle.gateway.table import (
    NO_POSITION,
    StoredTable,
    map_table,
)

_NO_WAIT = Seconds(0)
# Wait of a read for the first configuration; callers arrive seconds later.
_FIRST_WAIT = Seconds(2)
# Upper bound of the retries per second, over all gateways, to read one topic
# while the store refuses them.
_RETRY_RATE = 90
# Jitter of the retry delay, as a fraction of it.
_RETRY_JITTER = 0.25
# Wait of a read for the next table while no controller sends it.
_TABLE_WAIT = Seconds(1)
# Time since the last read of the tables was answered up to which all tables
# since are read.
_MAX_TABLES_AGE = Seconds(0.5)
# Maximum age of what was told of the configuration. A version has to be in force
# within 2.5 s; the controller's read takes up to a second, and its age counts
# from its start.
_MAX_CONFIGURATION_AGE = Seconds(1.6)
_CONFIGURATION_CHECK_INTERVAL = Seconds(0.1)
# Maximum age of what was told of the servers: one that leaves gets no work after
# 2.5 s, and a read that hangs takes 0.9 s.
_MAX_SERVERS_AGE = Seconds(1.2)
_SERVERS_CHECK_INTERVAL = Seconds(0.1)
# A relay reads so much earlier that its followers need not.
_RELAY_LEAD = Seconds(0.3)
# Interval of the checks whether the controller's updates still arrive.
_LINK_CHECK_INTERVAL = Seconds(0.5)

_TIMERS: Mapping[Topic, TimerKind] = MappingProxyType(
    {
        Topic.configuration: TimerKind.read_configuration,
        Topic.servers: TimerKind.read_servers,
        Topic.ownership: TimerKind.read_ownership,
    }
)


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Read the topics of the store and apply their entries."""
    match event:
        case Started():
            return [_read(gateway, Topic.configuration, now)]
        case TimerExpired():
            return _handle_timer(gateway, now, event.kind)
        case TopicRead():
            return _handle_read(gateway, now, event)
        case ConfigurationCopied():
            return _apply_configuration(gateway, event.configuration)
        case ControllerAnnounced():
            return _handle_announcement(gateway, now, event.announcement)
    return []


def _handle_timer(gateway: Gateway, now: Seconds, kind: TimerKind) -> Effects:
    match kind:
        case TimerKind.read_configuration:
            return _read_configuration(gateway, now)
        case TimerKind.read_servers:
            return _read_servers(gateway, now)
        case TimerKind.read_ownership:
            return _read_ownership(gateway, now)
        case TimerKind.review:
            return _expire_removals(gateway, now)
    return []


def _handle_announcement(
    gateway: Gateway, now: Seconds, announcement: ControllerAnnouncement
) -> Effects:
    """Connect to a controller whose table is newer than all known ones."""
    link = gateway.link
    era = announcement.era
    if announcement.provisional and _may_know_holders(gateway, now, era):
        return []
    positions = [
        stored.position
        for stored in gateway.tables.values()
        if not stored.table.provisional
    ]
    known = max(positions, default=NO_POSITION)
    if announcement.position <= max(known, link.announced):
        return []
    if not announcement.provisional:
        link.announced = announcement.position
    link.awaited = announcement.controller
    link.awaited_since = now
    link.controller_seen_at = now
    stepped = step_down(gateway, 'another controller has announced itself')
    return [*stepped, *dial(gateway, now, announcement.controller)]


def _may_know_holders(gateway: Gateway, now: Seconds, era: StoreEra) -> bool:
    """Return whether this gateway, or the one that it follows, may know holders.

    `era` is that of a provisional table of another controller.
    """
    if not gateway.control.leading:
        return is_linked(gateway, now)
    if era > gateway.era:
        # The store, which has come back, does not reach this controller.
        return may_renew(gateway, now)
    return holds_unstored(gateway, now)


def _read(gateway: Gateway, topic: Topic, now: Seconds) -> ReadTopic:
    state = gateway.topics[topic]
    state.reading = True
    wait = _NO_WAIT
    if state.next_offset is not None:
        wait = _find_wait(gateway, topic, now)
    return ReadTopic(topic, state.next_offset, wait, gateway.era)


def _find_wait(gateway: Gateway, topic: Topic, now: Seconds) -> Seconds:
    if topic == Topic.configuration:
        return _find_configuration_wait(gateway, now)
    if topic == Topic.ownership:
        return _TABLE_WAIT
    # Every server writes at each heartbeat, so that a wait would end at once.
    return _NO_WAIT


def _find_configuration_wait(gateway: Gateway, now: Seconds) -> Seconds:
    if gateway.link.wanted_since is not None:
        return _NO_WAIT
    if gateway.configuration is None:
        return _FIRST_WAIT
    if gateway.is_relay() and _is_read_overdue(gateway, now):
        # The followers read themselves unless they are told soon.
        return _NO_WAIT
    wait = gateway.options.configuration_wait
    if gateway.control.elected or gateway.is_relay():
        # The others rely on this read, whose age counts from its start.
        return Seconds(wait / 2)
    return wait


def _is_read_overdue(gateway: Gateway, now: Seconds) -> bool:
    read_at = gateway.topics[Topic.configuration].read_at
    limit = _MAX_CONFIGURATION_AGE - _RELAY_LEAD
    return read_at is None or now - read_at > limit


def _read_servers(gateway: Gateway, now: Seconds) -> Effects:
    if gateway.topics[Topic.servers].reading:
        return []
    if gateway.configuration is None:
        return []
    limit = _MAX_SERVERS_AGE
    if gateway.is_relay():
        limit = Seconds(limit - _RELAY_LEAD)
    if _is_recent(gateway, gateway.link.servers_read_at, now, limit):
        return [SetTimer(TimerKind.read_servers, _SERVERS_CHECK_INTERVAL)]
    return [_read_recent(gateway, now)]


def _read_recent(gateway: Gateway, now: Seconds) -> ReadTopic:
    # Every server writes at each heartbeat: after some time, the newest record
    # of each is less data than all records since the last read.
    state = gateway.topics[Topic.servers]
    read = _read(gateway, Topic.servers, now)
    age = _MAX_HEARTBEATS * gateway.options.heartbeat
    if state.read_at is None or now - state.read_at <= age:
        return read
    return ReadTopic(Topic.servers, None, _NO_WAIT)


# Heartbeats since this gateway's last read, up to which all records since are
# read.
_MAX_HEARTBEATS = 3


def _read_configuration(gateway: Gateway, now: Seconds) -> Effects:
    if gateway.topics[Topic.configuration].reading:
        return []
    limit = _MAX_CONFIGURATION_AGE
    if gateway.is_relay():
        limit = Seconds(limit - _RELAY_LEAD)
    told = _is_recent(gateway, gateway.link.configuration_read_at, now, limit)
    if told and not is_copy_overdue(gateway, now):
        pause = _CONFIGURATION_CHECK_INTERVAL
        return [SetTimer(TimerKind.read_configuration, pause)]
    return [_read(gateway, Topic.configuration, now)]


def _is_recent(
    gateway: Gateway, read_at: Seconds | None, now: Seconds, limit: Seconds
) -> bool:
    """Return whether what was told is provably recent enough not to read."""
    if read_at is None or gateway.control.elected:
        return False
    return now - read_at <= limit


def _read_ownership(gateway: Gateway, now: Seconds) -> Effects:
    if gateway.topics[Topic.ownership].reading:
        return []
    if gateway.configuration is None:
        return []
    told = is_linked(gateway, now) or is_connecting(gateway, now)
    if gateway.link.relay is not None:
        told = told or is_told(gateway, now)
    if gateway.control.leading or told:
        return [SetTimer(TimerKind.read_ownership, _LINK_CHECK_INTERVAL)]
    return [_read_tables(gateway, now)]


def _read_tables(gateway: Gateway, now: Seconds) -> ReadTopic:
    # A table replaces all earlier ones of its service: after some time with the
    # controller, the newest are less data than all since the last read.
    read = _read(gateway, Topic.ownership, now)
    answered_at = gateway.topics[Topic.ownership].answered_at
    recent = answered_at is None or now - answered_at <= _MAX_TABLES_AGE
    if recent or gateway.control.elected:
        # A gateway that is elected reads the newest tables for its takeover.
        return read
    return ReadTopic(Topic.ownership, None, _NO_WAIT)


def _handle_read(gateway: Gateway, now: Seconds, event: TopicRead) -> Effects:
    state = gateway.topics[event.topic]
    state.reading = False
    if event.verdict == ReadVerdict.unavailable:
        return _handle_unavailable(gateway, state, event)
    if gateway.is_outdated(event.era):
        # The read began before the store came back from a copy.
        pause = _find_retry_delay(gateway)
        return [SetTimer(_TIMERS[event.topic], pause)]
    effects: Effects = []
    if state.unreachable:
        effects.append(_handle_store_back(state, event))
    state.answered_at = now
    if event.verdict == ReadVerdict.expired:
        state.next_offset = None
        effects.append(
            log_event(
                Component.store, 'history is gone', topic=event.topic.value
            )
        )
        return [*effects, _read(gateway, event.topic, now)]
    state.read_at = event.asked_at
    state.next_offset = event.next_offset
    if event.topic == Topic.servers:
        heartbeat = gateway.options.heartbeat
        gateway.registry.lapses.record_read(event.asked_at, now, heartbeat)
    effects.extend(_apply_entries(gateway, now, event))
    return [*effects, _schedule_read(gateway, event.topic)]


def _handle_unavailable(
    gateway: Gateway,
    state: TopicState,
    event: TopicRead,
) -> Effects:
    pause = _find_retry_delay(gateway)
    effects: Effects = [SetTimer(_TIMERS[event.topic], pause)]
    if not state.unreachable:
        state.unreachable = True
        line = log_event(Component.store, 'store lost', topic=event.topic.value)
        effects.append(line)
    return effects


def _find_retry_delay(gateway: Gateway) -> Seconds:
    shortest = gateway.options.retry_interval
    pause = gateway.count_gateways() / _RETRY_RATE
    if pause <= shortest or gateway.control.elected:
        # All other gateways depend on the controller's reads.
        return shortest
    spread = gateway.random.uniform(-_RETRY_JITTER, _RETRY_JITTER)
    return Seconds(pause * (1 + spread))


def _handle_store_back(state: TopicState, event: TopicRead) -> WriteDecision:
    state.unreachable = False
    return log_event(Component.store, 'store back', topic=event.topic.value)


def _schedule_read(gateway: Gateway, topic: Topic) -> SetTimer:
    if topic == Topic.servers:
        pause = gateway.options.servers_interval
        return SetTimer(TimerKind.read_servers, pause)
    return SetTimer(_TIMERS[topic], _NO_WAIT)


def _apply_entries(
    gateway: Gateway,
    now: Seconds,
    event: TopicRead,
) -> Effects:
    effects: Effects = []
    if event.topic == Topic.servers:
        return _apply_servers(gateway, now, event)
    for entry in event.entries:
        if isinstance(entry, Configuration):
            effects.extend(_apply_configuration(gateway, entry))
        elif isinstance(entry, StoredTable):
            effects.extend(_apply_table(gateway, now, entry))
    return effects


def _apply_configuration(
    gateway: Gateway,
    configuration: Configuration,
) -> Effects:
    if configuration.version <= gateway.version:
        return []
    first = gateway.configuration is None
    gateway.configuration = configuration
    gateway.link.wanted_since = None
    line = log_event(
        Component.store,
        'configuration in force',
        version=configuration.version,
        hosts=len(configuration.routes),
    )
    if not first:
        return [line]
    return [
        line,
        SetTimer(TimerKind.read_servers, _NO_WAIT),
        SetTimer(TimerKind.read_ownership, _NO_WAIT),
    ]


def _apply_servers(
    gateway: Gateway,
    now: Seconds,
    event: TopicRead,
) -> Effects:
    changes: Effects = []
    _review_missing(gateway, event)
    known = set(gateway.registry.servers)
    usable = gateway.registry.list_usable()
    for entry in event.entries:
        if isinstance(entry, (Server, ServerRemoved)):
            changes.extend(_apply_server(gateway, now, entry))
    added = set(gateway.registry.servers).difference(known)
    # A complete list gives one line, and so do the new servers of a later read;
    # each changed server gives one line.
    effects = [*changes, *_log_registered(gateway, added)]
    if event.whole:
        effects = [_log_servers_read(event, now, len(changes) + len(added))]
        present = {server.life.server for server in _list_servers(event)}
        for name in gateway.registry.keep_only(present, now):
            effects.append(_log_server('server gone', name))
    expired = _expire_removals(gateway, now)
    for tag in usable.difference(gateway.registry.list_usable()):
        gateway.departed[tag] = now
    return [*effects, *expired]


def _list_servers(event: TopicRead) -> list[Server]:
    return [entry for entry in event.entries if isinstance(entry, Server)]


def _review_missing(gateway: Gateway, event: TopicRead) -> None:
    known = gateway.registry.servers
    entries = _list_servers(event)
    missing = {
        entry.server
        for entry in event.entries
        if isinstance(entry, ServerRemoved)
    }
    if event.whole:
        missing = known.keys() - {entry.life.server for entry in entries}
    missing |= gateway.registry.list_rewritten(entries)
    lapses = gateway.registry.lapses
    lapses.review_missing(known, missing, event.asked_at)


def _expire_removals(gateway: Gateway, now: Seconds) -> Effects:
    registry = gateway.registry
    gone = [
        _log_server('server did not come back', name)
        for name in registry.expire(now)
    ]
    admitted = [
        log_server_change(Component.store, server)
        for server in registry.admit_withheld(now)
    ]
    return [*gone, *admitted]


def _log_servers_read(
    event: TopicRead,
    now: Seconds,
    changed: int,
) -> WriteDecision:
    return log_event(
        Component.store,
        'servers read',
        servers=len(event.entries),
        changed=changed,
        age=round(now - event.asked_at, 3),
    )


def _apply_server(
    gateway: Gateway,
    now: Seconds,
    change: ServerChange,
) -> Effects:
    if isinstance(change, ServerRemoved):
        if gateway.registry.remove(change.server, now):
            return [_log_server('server gone', change.server)]
        return []
    known = change.life.server in gateway.registry.servers
    if not gateway.registry.put(change, now) or not known:
        return []
    return [log_server_change(Component.store, change)]


def _log_registered(gateway: Gateway, added: set[ServerId]) -> Effects:
    if not added:
        return []
    names = sorted(added)
    line = log_event(
        Component.store,
        'servers registered',
        servers=len(names),
        first=' '.join(names[:_MAX_NAMES]),
        known=len(gateway.registry.servers),
    )
    return [line]


# Maximum number of server names in one log line.
_MAX_NAMES = 5


def _log_server(event_name: str, name: str) -> WriteDecision:
    return log_event(Component.store, event_name, server=name)


def _apply_table(
    gateway: Gateway,
    now: Seconds,
    stored: StoredTable,
) -> Effects:
    table = stored.table
    known = gateway.tables.get(table.service)
    if known is not None and stored.position <= known.position:
        return []
    if table.provisional and _may_know_holders(gateway, now, table.era):
        # The controller that knows the holders stores its table after this one.
        # If it is lost before, all tables are read once more.
        gateway.topics[Topic.ownership].next_offset = None
        return []
    gateway.tables[table.service] = stored
    gateway.link.controller_seen_at = now
    owners = gateway.owners.get(table.service)
    position = NO_POSITION if owners is None else owners.position
    own = table.controller == gateway.own_address()
    if stored.position > position and not own:
        gateway.replace_owners(table.service, map_table(table), stored.position)
    effects: Effects = []
    if gateway.control.leading:
        if table.controller == gateway.own_address():
            return []
        effects.extend(step_down(gateway, 'another controller has a table'))
    return [*effects, *dial(gateway, now, table.controller)]
