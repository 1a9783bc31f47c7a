"""Test what the registry of servers takes from entries that may be old."""

from dataclasses import replace

import pytest

from tests.gatewayscenes import CATALOGUE, GATEWAYS, build_scene
from trefoilsaddle.core.units import (
    NodeId,
    Offset,
    Seconds,
    ServerId,
    ServiceName,
    Version,
    ZoneName,
)
from trefoilsaddle.gateway.events import (
    NewsReceived,
    ReadVerdict,
    TimerExpired,
    TimerKind,
    Topic,
    TopicRead,
)
from trefoilsaddle.gateway.lapses import LAPSE_GRACE
from trefoilsaddle.gateway.peermessages import News
from trefoilsaddle.gateway.reducer import reduce
from trefoilsaddle.gateway.servers import (
    Server,
    ServerIncarnation,
    ServerRegistry,
    ServerRemoved,
)
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.wire.gatewaycodec import (
    decode_peer_message,
    encode_peer_message,
)

_NAME = ServerId('guide-9')
_NOW = Seconds(200)
# Longer than the store lists a silent server.
_LONG = Seconds(6)
_BORN = 50
_SEQUENCE = 10
_KNOWN = Server(
    ServerIncarnation(_NAME, _BORN),
    ServiceName(CATALOGUE),
    'guide-9',
    80,
    ZoneName('east-1'),
    slots=3,
    draining=False,
    warm_up_left=Seconds(0),
    sequence=_SEQUENCE,
)
_OTHER = replace(_KNOWN, life=ServerIncarnation(ServerId('guide-10'), _BORN))


def _build_entry(born: int, sequence: int, *, draining: bool = False) -> Server:
    life = ServerIncarnation(_NAME, born)
    return replace(_KNOWN, life=life, sequence=sequence, draining=draining)


def _build_registry(*entries: Server) -> ServerRegistry:
    registry = ServerRegistry()
    for entry in entries:
        registry.put(entry, _NOW)
    return registry


# Guards against requests to a draining server: the store came back from a copy in
# which it was ready.
@pytest.mark.parametrize(
    ('born', 'sequence', 'taken'),
    [
        (_BORN, _SEQUENCE - 1, False),
        (_BORN, _SEQUENCE + 1, True),
        (_BORN - 1, _SEQUENCE + 1, False),
        (_BORN + 1, 1, True),
    ],
)
def test_older_entry_replaces_no_newer_one(
    born: int,
    sequence: int,
    *,
    taken: bool,
) -> None:
    """Order entries by incarnation, and then by their sequence numbers."""
    registry = _build_registry(_build_entry(_BORN, _SEQUENCE, draining=True))
    entry = _build_entry(born, sequence)
    assert registry.put(entry, _NOW) == taken
    assert registry.servers[_NAME].draining != taken


def test_sequence_alone_is_no_change() -> None:
    """Remember the newest sequence number, but report no change."""
    registry = _build_registry(_KNOWN)
    newer = _build_entry(_BORN, _SEQUENCE + 5)
    assert newer == _KNOWN
    assert not registry.put(newer, _NOW)
    assert registry.servers[_NAME].sequence == newer.sequence


# Guards against requests to a server that had left: the store came back from a copy
# that still had its entry.
@pytest.mark.parametrize(
    ('born', 'sequence', 'taken'),
    [
        (_BORN, _SEQUENCE - 1, False),
        (_BORN, _SEQUENCE, False),
        (_BORN, _SEQUENCE + 1, True),
        (_BORN - 1, _SEQUENCE + 1, False),
        (_BORN + 1, 1, True),
    ],
)
def test_departed_server_returns_with_a_newer_entry_only(
    born: int,
    sequence: int,
    *,
    taken: bool,
) -> None:
    """Withhold entries that were written before the server departed."""
    registry = _build_registry(_KNOWN)
    registry.remove(_NAME, _NOW)
    registry.put(_build_entry(born, sequence), _NOW)
    assert (_NAME in registry.servers) == taken


@pytest.mark.parametrize('silent', [True, False])
def test_withheld_entry_is_taken_in_if_the_store_keeps_it(
    *,
    silent: bool,
) -> None:
    """Take in a server whose entry does not lapse, as it is alive."""
    registry = _build_registry(_KNOWN)
    registry.remove(_NAME, _NOW)
    registry.put(_KNOWN, _NOW)
    if silent:
        registry.keep_only((), Seconds(_NOW + 3))
    admitted = registry.admit_withheld(Seconds(_NOW + _LONG))
    assert (admitted == []) == silent
    assert (_NAME in registry.servers) != silent


def test_few_departed_servers_are_remembered() -> None:
    """Bound the memory for departed servers."""
    registry = ServerRegistry()
    for number in range(3000):
        name = ServerId(f'guide-{number}')
        life = ServerIncarnation(name, _BORN)
        registry.put(replace(_KNOWN, life=life), _NOW)
        registry.remove(name, _NOW)
    assert len(registry.departed.newest) <= 1024
    assert name in registry.departed.newest


# Guards against servers that drop out: the store came back from a copy that was made
# before they were added.
@pytest.mark.parametrize(
    ('age', 'restored', 'kept'),
    [(5, True, True), (60, True, False), (5, False, False)],
)
def test_recent_server_is_kept_after_a_restore(
    age: float,
    *,
    restored: bool,
    kept: bool,
) -> None:
    """Keep entries that the copy may lack, until the server writes again."""
    registry = _build_registry(_KNOWN)
    now = Seconds(_NOW + age)
    if restored:
        registry.lapses.record_restore(now)
    registry.keep_only((), now)
    assert (_NAME in registry.servers) == kept
    registry.expire(Seconds(now + LAPSE_GRACE))
    assert _NAME not in registry.servers


def test_recent_server_that_writes_again_stays() -> None:
    """End the deferral of a removal once the entry is back."""
    registry = _build_registry(_KNOWN)
    registry.lapses.record_restore(_NOW)
    registry.keep_only((), _NOW)
    registry.put(_KNOWN, _NOW)
    assert registry.expire(Seconds(_NOW + LAPSE_GRACE)) == []
    assert _NAME in registry.servers


def _build_gateway() -> tuple[Gateway, Seconds]:
    world = build_scene()
    gateway = next(
        world.processes[NodeId(name)].gateway
        for name in GATEWAYS
        if not world.processes[NodeId(name)].gateway.control.leading
    )
    return gateway, world.now


def _build_read(
    *entries: Server | ServerRemoved,
    now: Seconds,
    whole: bool,
) -> TopicRead:
    return TopicRead(
        Topic.servers,
        ReadVerdict.records,
        whole=whole,
        next_offset=Offset(20),
        entries=entries,
        asked_at=now,
    )


def _build_news(gateway: Gateway, *servers: Server) -> NewsReceived:
    assert gateway.link.address is not None
    news = News(
        run=gateway.link.address.run,
        reporting=3,
        gateways=(),
        configuration=Version(1),
        configuration_age=Seconds(0),
        servers_age=Seconds(0),
        servers_whole=False,
        servers=servers,
        removed=(),
        owners=(),
        loads=(),
    )
    decoded = decode_peer_message(encode_peer_message(news))
    assert isinstance(decoded, News)
    return NewsReceived(decoded)


@pytest.mark.parametrize('told', [True, False])
def test_departed_server_is_not_added_again_by_a_copy(*, told: bool) -> None:
    """Withhold the old entry, no matter who read it, until it is newer."""
    gateway, now = _build_gateway()
    known = gateway.registry.servers
    present = tuple(known.values())
    reduce(gateway, now, _build_read(_KNOWN, now=now, whole=False))
    reduce(
        gateway, now, _build_read(ServerRemoved(_NAME), now=now, whole=False)
    )
    old = _build_read(*present, _KNOWN, now=now, whole=True)
    event = _build_news(gateway, _KNOWN) if told else old
    reduce(gateway, now, event)
    assert _NAME not in known
    newer = _build_entry(_BORN, _SEQUENCE + 1)
    event = (
        _build_news(gateway, newer)
        if told
        else replace(old, whole=False, entries=(newer,))
    )
    reduce(gateway, now, event)
    assert known[_NAME].sequence == newer.sequence


def test_review_takes_withheld_servers_in() -> None:
    """Take a live server in without a further read."""
    gateway, now = _build_gateway()
    known = gateway.registry.servers
    present = tuple(known.values())
    reduce(gateway, now, _build_read(_KNOWN, now=now, whole=False))
    reduce(
        gateway, now, _build_read(ServerRemoved(_NAME), now=now, whole=False)
    )
    reduce(gateway, now, _build_read(*present, _KNOWN, now=now, whole=True))
    assert _NAME not in known
    reduce(gateway, Seconds(now + _LONG), TimerExpired(TimerKind.review))
    assert _NAME in known


def test_added_server_outlives_a_restore() -> None:
    """Keep a server that the copy lacks until it has written again."""
    gateway, now = _build_gateway()
    known = gateway.registry.servers
    present = tuple(known.values())
    added = _build_read(_KNOWN, _OTHER, now=now, whole=False)
    reduce(gateway, now, added)
    gateway.registry.lapses.record_restore(now)
    reduce(gateway, now, _build_read(*present, now=now, whole=True))
    assert {_NAME, _OTHER.life.server} <= known.keys()
    reduce(gateway, now, _build_read(_KNOWN, now=now, whole=False))
    later = Seconds(now + LAPSE_GRACE)
    reduce(gateway, later, TimerExpired(TimerKind.review))
    assert _NAME in known
    assert _OTHER.life.server not in known


# Guards against servers that drop out: an outage was over, and most of the servers
# whose entries had lapsed had written again before the first read.
@pytest.mark.parametrize('lapsed', [True, False])
def test_entries_that_are_back_show_that_others_lapsed(
    *,
    lapsed: bool,
) -> None:
    """Count entries that were written again as missing after an outage."""
    gateway, now = _build_gateway()
    known = gateway.registry.servers
    present = tuple(known.values())
    reduce(gateway, now, _build_read(_KNOWN, now=now, whole=False))
    if lapsed:
        present = tuple(replace(server, sequence=9) for server in present)
    later = Seconds(now + 5)
    reduce(gateway, later, _build_read(*present, now=later, whole=True))
    assert (_NAME in known) == lapsed
