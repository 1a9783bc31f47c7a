"""Test that one malformed message or unexpected error ends no process."""

from collections.abc import Callable
from functools import partial

import pytest
import trio

from trefoilsaddle.core.units import (
    NodeId,
    Offset,
    Seconds,
    ServerId,
    ServiceName,
    ZoneName,
)
from trefoilsaddle.gateway.effects import (
    AppendTable,
    Effect,
    GrantKeys,
    JoinGroup,
    ProbeServer,
    ReadTopic,
    ReleaseKeys,
    WriteDecision,
)
from trefoilsaddle.gateway.events import (
    AppendEnded,
    AppendVerdict,
    Event,
    JoinEnded,
    OrderEnded,
    OrderVerdict,
    ReadVerdict,
    ServerProbed,
    Topic,
    TopicRead,
)
from trefoilsaddle.gateway.keys import ALL_KEYS
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.gateway.table import GatewayAddress, OwnershipTable
from trefoilsaddle.http.messages import HttpRequest
from trefoilsaddle.http.requests import BadInput
from trefoilsaddle.platform.dialect import PlatformDialect
from trefoilsaddle.programs import containment as containing
from trefoilsaddle.programs.containment import Containment
from trefoilsaddle.programs.unknownresults import (
    build_ungranted,
    build_unknown,
    build_unreleased,
)

_SERVICE = ServiceName('guide')
_SERVER = Server(
    ServerIncarnation(ServerId('i-1'), 5),
    _SERVICE,
    '10.0.0.1',
    80,
    ZoneName('a'),
    slots=3,
    draining=False,
    warm_up_left=Seconds(0),
)
_TABLE = OwnershipTable(
    _SERVICE,
    GatewayAddress(NodeId('gate'), 1, '10.0.0.2', 81),
    sequence=4,
    resigned=False,
    assignments=(),
)

# Numbers that Python cannot turn into a float, and ones that it refuses.
_NUMBERS = (b'9' * 400, b'9' * 5000, b'-1', b'1_0', b'\xb2', b'')


# Guards against a process that ends because of a caller's header.
@pytest.mark.parametrize('name', [b'x-deadline-ms', b'x-shard-key'])
@pytest.mark.parametrize('number', _NUMBERS)
def test_header_that_is_no_number_is_refused(
    name: bytes, number: bytes
) -> None:
    """Refuse a request whose deadline or key is no number of usual size."""
    headers = ((b'host', b'a'), (b'x-attempt-id', b'mine'), (name, number))
    request = HttpRequest(b'GET', b'/reads/1', headers)
    assert isinstance(PlatformDialect().read_head(request), BadInput)


async def _fail(effect: Effect) -> Event:
    raise ZeroDivisionError(str(type(effect)))


_GRANT = GrantKeys(_SERVER, ALL_KEYS, 7, Seconds(2), '')
_RELEASE = ReleaseKeys(
    _SERVICE, _SERVER.life, _SERVER.host, _SERVER.port, ALL_KEYS, 7
)
_UNKNOWN = {
    'read': (
        ReadTopic(Topic.servers, Offset(4), Seconds(0)),
        build_unknown,
        lambda ended: (
            isinstance(ended, TopicRead)
            and ended.verdict == ReadVerdict.unavailable
        ),
    ),
    'append': (
        AppendTable(Offset(4), _TABLE),
        build_unknown,
        lambda ended: ended == AppendEnded(_SERVICE, 4, AppendVerdict.unknown),
    ),
    'join': (
        JoinGroup(3, Seconds(1)),
        build_unknown,
        lambda ended: isinstance(ended, JoinEnded) and not ended.answered,
    ),
    'probe': (
        ProbeServer(_SERVER, '/health'),
        build_unknown,
        lambda ended: ended == ServerProbed(_SERVER.life, Seconds(0)),
    ),
    'grant': (
        _GRANT,
        build_ungranted,
        lambda ended: (
            isinstance(ended, OrderEnded)
            and ended.verdict == OrderVerdict.unknown
            and not ended.release
        ),
    ),
    'release': (
        _RELEASE,
        build_unreleased,
        lambda ended: (
            isinstance(ended, OrderEnded)
            and ended.verdict == OrderVerdict.unknown
            and ended.release
        ),
    ),
}


# Guards against a call whose unexpected error leaves its partition, or the
# reading of a topic, waiting for ever.
@pytest.mark.parametrize(
    ('effect', 'build', 'fits'), _UNKNOWN.values(), ids=_UNKNOWN
)
def test_call_that_fails_has_an_unknown_result(
    monkeypatch: pytest.MonkeyPatch,
    effect: Effect,
    build: Callable[[Effect], Event],
    fits: Callable[[Event], bool],
) -> None:
    """Report the result as unknown, and log the error once."""
    monkeypatch.setattr(containing, '_PAUSE', 0)
    lines: list[WriteDecision] = []
    call = partial(Containment(lines.append).call, _fail, effect, build)
    assert fits(trio.run(call))
    assert [line.event_name for line in lines] == ['unexpected error']


def test_failed_task_starts_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Run a task again after an unexpected error, and pass cancellation on."""
    monkeypatch.setattr(containing, '_PAUSE', 0)
    lines: list[WriteDecision] = []
    starts: list[int] = []

    async def run() -> None:
        starts.append(len(starts))
        if len(starts) < 3:
            raise ZeroDivisionError
        await trio.sleep_forever()

    async def keep_running() -> None:
        with trio.move_on_after(0.1):
            await Containment(lines.append).keep_running('task', run)

    trio.run(keep_running)
    assert starts == [0, 1, 2]
    assert len(lines) == 2
