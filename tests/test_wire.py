"""Test the encoding of messages and frames, and damaged input."""

from collections.abc import Callable
from typing import Any, get_args

import pytest
from hypothesis import given, settings, strategies

from tests.samples import build_samples
from trefoilsaddle.core.calls import Answer, Pressure, Reply
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.messages import (
    ForwardAnswer,
    Health,
    Message,
    Ping,
    Rumour,
)
from trefoilsaddle.core.units import (
    AttemptId,
    NodeId,
    Offset,
    Seconds,
    ServerId,
    ZoneName,
)
from trefoilsaddle.results import Outcome, ResultCode
from trefoilsaddle.wire.codec import decode_message, encode_message
from trefoilsaddle.wire.framing import FrameSplitter, pack_frame
from trefoilsaddle.wire.schema import schema

_KINDS = get_args(Message)
_MALFORMED = ResultCode.malformed
_MAX_PAYLOAD = 8

_ANSWER = ForwardAnswer(
    AttemptId(7),
    Answer(Outcome.answered, ResultCode.ok, Reply(200, 'a/b', b'body')),
    ServerId('server-1'),
    None,
    Offset(3),
    Pressure(ServerId('server-1'), (Seconds(0.5),)),
)
_PING = Ping(
    sequence=1,
    relay_for=None,
    rumours=(
        Rumour(
            NodeId('entry-1'),
            ZoneName('zone-1'),
            '127.0.0.1',
            7000,
            dispatches=False,
            health=Health.alive,
            incarnation=2,
        ),
    ),
    loads=(),
)
_ENCODED = (encode_message(_ANSWER), encode_message(_PING))


@pytest.mark.parametrize('kind', _KINDS, ids=lambda kind: kind.__name__)
@settings(max_examples=40)
@given(samples=strategies.data())
def test_message_survives(kind: Any, samples: strategies.DataObject) -> None:
    """Decode every kind of message to the original."""
    message = samples.draw(build_samples(kind))
    assert decode_message(encode_message(message)) == message


def test_schema_knows_every_message() -> None:
    """Check that the schema matches the union of messages."""
    names = {kind.__name__.lower() for kind in _KINDS}
    members = {name.lower() for name in schema.Message.schema.fields}
    assert members == names


@given(
    encoded=strategies.sampled_from(_ENCODED),
    place=strategies.integers(0, 10_000),
    damage=strategies.binary(min_size=1, max_size=9),
)
def test_damage_raises_nothing(
    encoded: bytes,
    place: int,
    damage: bytes,
) -> None:
    """Decode damaged bytes to a message or a failure, but never raise."""
    start = place % len(encoded)
    damaged = encoded[:start] + damage + encoded[start + len(damage) :]
    decoded = decode_message(damaged)
    assert isinstance(decoded, (*_KINDS, Failure))


@given(garbage=strategies.binary(max_size=200))
def test_garbage_raises_nothing(garbage: bytes) -> None:
    """Decode garbage to a failure, without raising."""
    decoded = decode_message(garbage)
    assert isinstance(decoded, (*_KINDS, Failure))


@pytest.mark.parametrize('encoded', _ENCODED)
def test_cut_message_is_refused(encoded: bytes) -> None:
    """Refuse a message that is truncated at any byte."""
    for end, _ in enumerate(encoded):
        cut = decode_message(encoded[:end])
        assert isinstance(cut, Failure)
        assert cut.code is _MALFORMED


def _build_empty() -> bytes:
    builder = schema.Message.new_message()
    builder.init('forwardAnswer')
    return bytes(builder.to_bytes())


def _build_nan() -> bytes:
    builder = schema.Message.new_message()
    handover = builder.init('handover')
    handover.init('shard').service = 'catalogue'
    handover.init('epoch')
    handover.floor = float('nan')
    return bytes(builder.to_bytes())


def _build_unknown_code() -> bytes:
    builder = schema.Message.new_message()
    forwarded = builder.init('forwardAnswer')
    forwarded.init('answer').code = 999
    return bytes(builder.to_bytes())


def _build_unknown_health() -> bytes:
    # Port and health are adjacent: 7000, a flag, then the health.
    return _ENCODED[1].replace(b'\x58\x1b\0\0\0\0', b'\x58\x1b\0\0\x63\0')


def _build_empty_entries() -> bytes:
    """Build a list of a million log entries of zero size."""
    words = (
        9 << 32,  # One segment of nine words.
        1 << 32 | 1 << 48,  # The message: one word, one pointer.
        14,  # It is a `RelayEntries`.
        3 << 32 | 1 << 48,  # Three words, one pointer.
        *(0, 0, 0),
        1 | 7 << 32,  # A list of structs, of zero words in total.
        1_000_000 << 2,  # The tag of the list: the number of empty structs.
        *(0, 0),
    )
    return b''.join(word.to_bytes(8, 'little') for word in words[:10])


@pytest.mark.parametrize(
    'build',
    [
        _build_empty,
        _build_nan,
        _build_unknown_code,
        _build_unknown_health,
        _build_empty_entries,
    ],
)
def test_incomplete_message_is_refused(build: Callable[[], bytes]) -> None:
    """Refuse well-formed data that is not a valid message."""
    decoded = decode_message(build())
    assert isinstance(decoded, Failure)
    assert decoded.code is _MALFORMED


_FRAMES = pack_frame(b'one') + pack_frame(b'') + pack_frame(b'three')
_Popped = list[bytes | ResultCode]
_FRAME_CASES: tuple[tuple[str, bytes, _Popped, bool], ...] = (
    ('whole', _FRAMES, [b'one', b'', b'three'], False),
    ('cut in a length', _FRAMES[:2], [], True),
    ('cut in a payload', _FRAMES[:5], [], True),
    ('cut in the last payload', _FRAMES[:-1], [b'one', b''], True),
    ('nothing', b'', [], False),
    ('largest', pack_frame(b'12345678'), [b'12345678'], False),
    ('too large', pack_frame(b'123456789'), [_MALFORMED], True),
    ('huge', b'\xff\xff\xff\xff', [_MALFORMED], True),
    (
        'good, then huge',
        _FRAMES + b'\xff' * 4,
        [b'one', b'', b'three', _MALFORMED],
        True,
    ),
)


@pytest.mark.parametrize('step', [1, 3, 1000])
@pytest.mark.parametrize(
    ('received', 'expected', 'has_partial_frame'),
    [case[1:] for case in _FRAME_CASES],
    ids=[case[0] for case in _FRAME_CASES],
)
def test_frames_are_split(
    step: int,
    received: bytes,
    expected: list[bytes | ResultCode],
    has_partial_frame: bool,
) -> None:
    """Split a stream into the same frames in whichever chunks it arrives."""
    splitter = FrameSplitter(_MAX_PAYLOAD)
    popped: list[bytes | ResultCode] = []
    for start in range(0, len(received), step):
        splitter.push(received[start : start + step])
        popped.extend(_pop_all(splitter))
        if popped and popped[-1] is _MALFORMED:
            break
    assert popped == expected
    assert splitter.has_partial_frame() is has_partial_frame


def _pop_all(splitter: FrameSplitter) -> list[bytes | ResultCode]:
    popped: list[bytes | ResultCode] = []
    payload = splitter.pop()
    while isinstance(payload, bytes):
        popped.append(payload)
        payload = splitter.pop()
    if isinstance(payload, Failure):
        popped.append(payload.code)
    return popped
