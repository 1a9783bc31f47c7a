"""Test what the registry of servers takes from entries that may be old."""

from dataclasses import replace

import pytest

from tests.gatewayscenes import CATALOGUE
from trefoilsaddle.core.units import (
    Seconds,
    ServerId,
    ServiceName,
    ZoneName,
)
from trefoilsaddle.gateway.servers import (
    Server,
    ServerIncarnation,
    ServerRegistry,
)

_NAME = ServerId('guide-9')
_NOW = Seconds(200)
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
