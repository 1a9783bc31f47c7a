"""Test requests that callers send before the answers to earlier ones."""

from dataclasses import dataclass, field, replace
from random import Random

import pytest
import trio

from tests.callerservice import serve_caller
from tests.gatewayscenes import LIMITS
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.pipeline import CallerService
from trefoilsaddle.http.requests import BadInput
from trefoilsaddle.http.unanswered import UnansweredCount

_SLOW = 0.2
_MAX_UNANSWERED = 16
_HEAD_END = b'\r\n\r\n'


@dataclass(slots=True)
class _Service(CallerService):
    """Answer `/NAME/SECONDS` with its name after some seconds."""

    closing: bool = False
    limits: CallerLimits = LIMITS
    started: list[bytes] = field(default_factory=list)
    running: set[bytes] = field(default_factory=set)
    most: int = 0
    left: list[bytes] = field(default_factory=list)
    waits: dict[bytes, float] = field(default_factory=dict)

    def read_limits(self) -> CallerLimits:
        """Return the limits of the test case."""
        return self.limits

    def is_closing(self) -> bool:
        """Return whether connections are closed after an answer."""
        return self.closing

    def is_idempotent(self, request: HttpRequest) -> bool:
        """Treat all but POST requests as idempotent."""
        return request.method != b'POST'

    async def answer(
        self, request: HttpRequest, waited: Seconds
    ) -> HttpAnswer | None:
        """Answer after the time that the path names."""
        _, name, seconds = request.target.split(b'/')
        await trio.lowlevel.checkpoint_if_cancelled()
        self.started.append(name)
        self.waits[name] = waited
        self.running.add(name)
        self.most = max(self.most, len(self.running))
        try:
            await trio.sleep(float(seconds))
        except trio.Cancelled:
            self.left.append(name)
            raise
        finally:
            self.running.discard(name)
        return HttpAnswer(200, (), b'<%b>' % name)

    def refuse(self, bad: BadInput) -> HttpAnswer:
        """Answer with the name of the result code."""
        return HttpAnswer(bad.status, (), b'<%b>' % bad.code.name.encode())


def _get(name: str, seconds: float = 0) -> bytes:
    return f'GET /{name}/{seconds} HTTP/1.1\r\nhost: a\r\n\r\n'.encode()


def _post(name: str, seconds: float = 0) -> bytes:
    head = f'POST /{name}/{seconds} HTTP/1.1\r\nhost: a\r\n'
    return f'{head}content-length: 4\r\n\r\nbody'.encode()


async def _read_bodies(stream: trio.SocketStream, count: int) -> list[str]:
    """Read whole answers until there are as many, or the connection ends."""
    received = b''
    while received.count(b'>') < count:
        part = await stream.receive_some()
        if not part:
            break
        received += part
    heads = received.count(b'HTTP/1.1 ')
    bodies = [part.split(b'>')[0] for part in received.split(b'<')[1:]]
    assert heads == len(bodies)
    return [body.decode() for body in bodies]


@dataclass(frozen=True, slots=True)
class _Case:
    """Requests sent at once, the answers, and the most that ran together."""

    sent: tuple[bytes, ...]
    answers: tuple[str, ...]
    together: int


_ORDERS = {
    'slow first': _Case(
        (_get('a', _SLOW), _get('b'), _get('c', _SLOW / 2)),
        ('a', 'b', 'c'),
        3,
    ),
    'slow last': _Case((_get('a'), _get('b', _SLOW)), ('a', 'b'), 2),
    'unrepeatable first': _Case(
        (_post('a', _SLOW), _get('b', _SLOW), _get('c')), ('a', 'b', 'c'), 2
    ),
    'unrepeatable between': _Case(
        (_get('a', _SLOW), _get('b', _SLOW), _post('c', _SLOW), _get('d')),
        ('a', 'b', 'c', 'd'),
        2,
    ),
    'unrepeatable only': _Case(
        (_post('a'), _post('b', _SLOW), _post('c')), ('a', 'b', 'c'), 1
    ),
    'bad input last': _Case(
        (_get('a', _SLOW), _post('b'), b'nonsense\r\n\r\n', _get('c')),
        ('a', 'b', 'malformed'),
        1,
    ),
    'last by its own word': _Case(
        (
            _get('a', _SLOW),
            _get('b').replace(b'host', b'connection: close\r\nhost'),
            _get('c'),
        ),
        ('a', 'b'),
        2,
    ),
}


# Guards against requests that wait for the one before them, and against
# answers that overtake each other.
@pytest.mark.parametrize('case', _ORDERS.values(), ids=_ORDERS)
def test_requests_sent_ahead_are_answered_in_order(case: _Case) -> None:
    """Run idempotent requests side by side, and answer all in order."""
    service = _Service()

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(b''.join(case.sent))
        answers = await _read_bodies(stream, len(case.answers))
        assert answers == list(case.answers)

    serve_caller(service, use)
    assert service.most == case.together
    assert len(service.started) == len(set(service.started))


# Guards against a caller whose leaving is not noticed once it has sent ahead.
@pytest.mark.parametrize(
    'sent',
    [
        (_get('a', 9), _get('b', 9), _get('c', 9)),
        (_get('a', 9), _post('b'), _get('c')),
        (_post('a', 9), _get('b')),
        tuple(_get(f'n{number}', 9) for number in range(40)),
    ],
    ids=['all run', 'one runs', 'one runs alone', 'full'],
)
def test_caller_that_leaves_ends_all_its_requests(
    sent: tuple[bytes, ...],
) -> None:
    """Cancel what runs and start nothing more."""
    service = _Service()

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(b''.join(sent))
        while not service.running:
            await trio.sleep(0.01)
        await trio.sleep(0.05)
        await stream.aclose()
        while service.running:
            await trio.sleep(0.01)

    serve_caller(service, use)
    assert sorted(service.left) == sorted(service.started)


async def _read_answers(stream: trio.SocketStream) -> list[bytes]:
    """Read whole answers until the connection ends."""
    received = b''
    async for part in stream:
        received += part
    answers = received.split(b'HTTP/1.1 ')[1:]
    assert all(answer.endswith(b'>') for answer in answers)
    return answers


# The requests that arrive together at a stopping gateway.
_BURSTS = {
    'one': (_get('a', _SLOW),),
    'reads': (_get('a', _SLOW), _get('b'), _get('c')),
    'orders behind a read': (_get('a', _SLOW), _post('b'), _post('c')),
    'reads behind an order': (_post('a', _SLOW), _get('b'), _get('c')),
}


# Guards against requests that arrive behind another one during a stop and are cut
# without an answer, and against work behind an answer that closes the connection,
# as callers send such requests again.
@pytest.mark.parametrize('burst', _BURSTS.values(), ids=_BURSTS)
def test_nothing_starts_behind_a_closing_answer(
    burst: tuple[bytes, ...],
) -> None:
    """Answer what arrives before the last answer, and nothing behind that."""
    service = _Service(closing=True)
    names = [b'a', b'b', b'c'][: len(burst)] + [b'z', b'y']

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(b''.join(burst))
        await trio.sleep(_SLOW / 4)
        await stream.send_all(_get('z') + _post('y', _SLOW))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_behind, service, stream)
            answers = await _read_answers(stream)
        bodies = [answer.split(b'<')[1] for answer in answers]
        assert bodies == [name + b'>' for name in names]
        closing = [b'connection: close' in answer for answer in answers]
        assert closing.index(True) == len(names) - 1

    serve_caller(service, use)
    assert sorted(service.started) == sorted(names)


async def _send_behind(service: _Service, stream: trio.SocketStream) -> None:
    """Send more once the last request has been answered."""
    while b'y' not in service.started or service.running:
        await trio.sleep(0.01)
    await stream.send_all(_get('late') + _post('later'))


# Guards against a caller that holds a stop, as it sends ahead without a pause.
def test_requests_during_a_stop_are_bounded() -> None:
    """Answer a number of requests in order, and close behind the last."""
    service = _Service(closing=True)
    names = [f'n{number}' for number in range(200)]

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(b''.join(_get(name, 0.01) for name in names))
        answers = await _read_answers(stream)
        assert 16 <= len(answers) <= 64
        assert b'connection: close' in answers[-1]

    serve_caller(service, use)
    assert service.left == []
    assert len(service.started) <= 64


# Guards against accepted requests that are cut off by a planned stop, also while
# they wait for their turn.
def test_stop_answers_what_was_read() -> None:
    """Answer all requests that were read when the stop begins, then close."""
    service = _Service()

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(_get('a', _SLOW) + _get('b', _SLOW))
        await stream.send_all(_get('c', _SLOW * 2) + _post('d'))
        while len(service.running) < 3:
            await trio.sleep(0.01)
        service.closing = True
        assert await _read_bodies(stream, 4) == ['a', 'b', 'c', 'd']
        assert await stream.receive_some() == b''

    serve_caller(service, use)
    assert service.left == []


# Guards against a process that ends while requests that it has read wait for
# their turn, or while a caller has not read its last answer.
@pytest.mark.parametrize('leaves', [False, True])
def test_requests_are_counted_until_they_are_answered(*, leaves: bool) -> None:
    """Count what waits, runs or is being read, until the caller leaves."""
    service = _Service()
    count = UnansweredCount()

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(_post('a', _SLOW) + _post('b') + _post('c'))
        while not service.running:
            await trio.sleep(0.01)
        assert count.count == 3
        service.closing = True
        if not leaves:
            assert len(await _read_answers(stream)) == 3
            assert count.count == 1
        await stream.aclose()
        await count.wait_until_none()

    serve_caller(service, use, count)
    assert count.count == 0


def test_requests_of_a_connection_are_bounded() -> None:
    """Start no more than a number of requests, and answer all in order."""
    service = _Service()
    names = [f'n{number}' for number in range(100)]

    async def use(stream: trio.SocketStream) -> None:
        sent = b''.join(_get(name, 0.01) for name in names)
        await stream.send_all(sent)
        assert await _read_bodies(stream, len(names)) == names

    serve_caller(service, use)
    assert service.most == _MAX_UNANSWERED


# Guards against memory that grows with what a caller sends without reading.
def test_caller_that_only_sends_is_not_read() -> None:
    """Stop reading a connection whose requests are not answered yet."""
    service = _Service()

    async def use(stream: trio.SocketStream) -> None:
        batch = _get('n', 9) * 1000
        with trio.move_on_after(0.5) as scope:
            # Socket buffers hold some megabytes.
            for _ in range(500):
                await stream.send_all(batch)
        assert scope.cancelled_caught

    serve_caller(service, use)
    assert len(service.started) == _MAX_UNANSWERED


def test_time_behind_other_requests_is_told() -> None:
    """Tell the service how long a request has waited for its turn."""
    service = _Service()

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(_post('a', _SLOW) + _post('b'))
        await _read_bodies(stream, 2)

    serve_caller(service, use)
    assert service.waits[b'a'] < _SLOW / 2
    assert service.waits[b'b'] >= _SLOW


def test_idle_time_counts_from_the_last_answer() -> None:
    """Close an idle connection, but none with an unanswered request."""
    service = _Service(limits=replace(LIMITS, idle_timeout=Seconds(0.1)))

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(_get('a', _SLOW))
        assert await _read_bodies(stream, 1) == ['a']
        await stream.send_all(_get('b'))
        assert await _read_bodies(stream, 2) == ['b']
        assert await stream.receive_some() == b''

    serve_caller(service, use)


@pytest.mark.parametrize('seed', range(12))
def test_random_requests_are_answered_in_order(seed: int) -> None:
    """Answer requests in order however they are cut into segments."""
    random = Random(seed)
    names = [f'n{number}' for number in range(random.randint(1, 30))]
    build = [random.choice((_get, _get, _get, _post)) for _ in names]
    sent = b''.join(
        make(name, random.choice((0, 0, 0.01, 0.03)))
        for make, name in zip(build, names, strict=True)
    )
    service = _Service()

    async def send(stream: trio.SocketStream) -> None:
        rest = sent
        while rest:
            size = random.randint(1, 120)
            await stream.send_all(rest[:size])
            rest = rest[size:]
            await trio.sleep(random.choice((0, 0, 0.002)))

    async def use(stream: trio.SocketStream) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, stream)
            assert await _read_bodies(stream, len(names)) == names

    serve_caller(service, use)
