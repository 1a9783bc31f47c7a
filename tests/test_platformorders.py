"""Test grant and release calls that time out, over loopback."""

import socket
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from functools import partial
from threading import Thread

import pytest
import trio

from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.core.units import Seconds, ServerId, ServiceName, ZoneName
from trefoilsaddle.gateway.effects import GrantKeys, ReleaseKeys
from trefoilsaddle.gateway.events import OrderEnded, OrderVerdict
from trefoilsaddle.gateway.keys import ALL_KEYS
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.http import exchange, sockets
from trefoilsaddle.platform.orders import PlatformOrders

_HOST = '127.0.0.1'
_INCARNATION = ServerIncarnation(ServerId('i-1'), 5)
_SERVICE = ServiceName('guide')
_HANDOVER = b'x-handover: token'
_GRANTED = whole(b'{}')
_RELEASED = whole(b'{}', _HANDOVER)
_ANSWERS = {'grant': _GRANTED, 'release': _RELEASED}


def _build_grant(port: int) -> GrantKeys:
    server = Server(
        _INCARNATION,
        _SERVICE,
        _HOST,
        port,
        ZoneName('a'),
        slots=3,
        draining=False,
        warm_up_left=Seconds(0),
    )
    return GrantKeys(server, ALL_KEYS, 7, Seconds(2), '')


def _build_release(port: int) -> ReleaseKeys:
    return ReleaseKeys(_SERVICE, _INCARNATION, _HOST, port, ALL_KEYS, 7)


async def _grant(port: int, timeout: float) -> OrderEnded:
    orders = PlatformOrders(Seconds(timeout), Seconds(timeout))
    return await orders.grant(_build_grant(port))


async def _release(port: int, timeout: float) -> OrderEnded:
    orders = PlatformOrders(Seconds(timeout), Seconds(timeout))
    return await orders.release(_build_release(port))


@contextmanager
def _fill_backlog() -> Iterator[int]:
    """Listen with a full backlog, so that no connection is accepted."""
    with socket.socket() as listener:
        listener.bind((_HOST, 0))
        listener.listen(0)
        address = listener.getsockname()
        waiting = [socket.socket() for _ in range(4)]
        for connection in waiting:
            connection.setblocking(False)
            connection.connect_ex(address)
        yield address[1]
        for connection in waiting:
            connection.close()


_Call = Callable[[int, float], Awaitable[OrderEnded]]
_CALLS = {'grant': _grant, 'release': _release}
_UNKNOWN = OrderVerdict.unknown


# A call that was never sent must not extend the assumed grant time.
@pytest.mark.parametrize('call', _CALLS.values(), ids=_CALLS)
@pytest.mark.parametrize('timeout', [0.05, 0.25, 1])
def test_order_that_never_connected_has_not_run(
    call: _Call,
    timeout: float,
) -> None:
    """Distinguish a call that was not sent from one without an answer."""
    with _fill_backlog() as port:
        ended = trio.run(call, port, timeout)
    assert ended.verdict == OrderVerdict.rejected


# A grant must not count as failed if the server has answered.
@pytest.mark.parametrize('name', _CALLS)
def test_answer_that_came_while_the_process_was_busy_counts(name: str) -> None:
    """Read an answer that arrived while the process was busy."""
    call = _CALLS[name]

    async def run(port: int) -> OrderEnded:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_keep_busy)
            ended = await call(port, 0.02)
            nursery.cancel_scope.cancel()
        return ended

    with socket.create_server((_HOST, 0)) as listener:
        arguments = (listener, _ANSWERS[name])
        Thread(target=_answer, args=arguments, daemon=True).start()
        ended = trio.run(run, listener.getsockname()[1])
    assert ended.verdict == OrderVerdict.done


# Guards against a connection that is used again although its last call timed
# out: more answers to that call may follow.
def test_connection_of_a_call_that_timed_out_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Keep no connection whose answer was read after the timeout."""
    accepted: list[socket.socket] = []

    def answer_late(stream: trio.SocketStream) -> bool:
        """Answer a call that was sent when the connection is checked."""
        if not accepted:
            accepted.append(listener.accept()[0])
        with suppress(BlockingIOError):
            accepted[0].recv(4096, socket.MSG_DONTWAIT)
            accepted[0].sendall(_GRANTED)
        return sockets.is_idle(stream)

    async def run(port: int) -> int:
        orders = PlatformOrders(Seconds(0.1), Seconds(0.1))
        ended = await orders.grant(_build_grant(port))
        assert ended.verdict == OrderVerdict.done
        return sum(len(pool.idle) for pool in orders.list_pools())

    monkeypatch.setattr(exchange, 'is_idle', answer_late)
    with socket.create_server((_HOST, 0)) as listener:
        assert not trio.run(run, listener.getsockname()[1])
    accepted[0].close()


def test_order_without_an_answer_is_unknown() -> None:
    """Report an unknown outcome if a sent call times out."""
    with socket.create_server((_HOST, 0)) as listener:
        ended = trio.run(_grant, listener.getsockname()[1], 0.1)
    assert ended.verdict == OrderVerdict.unknown


async def _keep_busy() -> None:
    """Block the event loop repeatedly, for longer in total than the timeout.

    Each block is shorter than the timeout for connecting.
    """
    while True:
        time.sleep(0.04)
        await trio.lowlevel.checkpoint()


def _answer(listener: socket.socket, answer: bytes) -> None:
    connection, _ = listener.accept()
    with connection:
        connection.recv(4096)
        connection.sendall(answer)
        # Wait until the other end closes or resets the connection.
        with suppress(ConnectionResetError):
            connection.recv(1)


_REFUSED = whole(b'', status=b'503 Service Unavailable')
_FENCED = whole(b'', status=b'409 Conflict')


# Calls on one connection, each with its step of the server and its verdict.
@dataclass(frozen=True, slots=True)
class _Sequence:
    calls: tuple[tuple[str, Step, OrderVerdict], ...]
    connections: int


_SEQUENCES = {
    'release-behind-a-copied-renewal': _Sequence(
        (
            ('grant', Step(_GRANTED), OrderVerdict.done),
            ('release', Step(copied=_GRANTED, silent=True), _UNKNOWN),
        ),
        2,
    ),
    'release-behind-a-copied-release': _Sequence(
        (
            ('release', Step(_RELEASED), OrderVerdict.done),
            ('release', Step(copied=_RELEASED, silent=True), _UNKNOWN),
        ),
        2,
    ),
    # The second grant is in force, and must not count as refused.
    'grant-behind-a-copied-refusal': _Sequence(
        (
            ('grant', Step(_REFUSED), OrderVerdict.rejected),
            ('grant', Step(_GRANTED, copied=_REFUSED), OrderVerdict.done),
        ),
        2,
    ),
    'grant-behind-a-copied-conflict': _Sequence(
        (
            ('grant', Step(_FENCED), OrderVerdict.fenced),
            ('grant', Step(_GRANTED, copied=_FENCED), OrderVerdict.done),
        ),
        2,
    ),
    'grant-behind-a-second-answer': _Sequence(
        (
            ('grant', Step(_GRANTED + _REFUSED), OrderVerdict.done),
            ('grant', Step(_GRANTED), OrderVerdict.done),
        ),
        2,
    ),
    'release-answered-as-a-grant': _Sequence(
        (('release', Step(_GRANTED), _UNKNOWN),), 1
    ),
    'grant-answered-as-a-release': _Sequence(
        (('grant', Step(_RELEASED), _UNKNOWN),), 1
    ),
    # Each new connection waits for a slot of a busy server.
    'renewals-share-a-connection': _Sequence(
        (
            ('grant', Step(_GRANTED), OrderVerdict.done),
            ('release', Step(_RELEASED), OrderVerdict.done),
            ('grant', Step(_GRANTED), OrderVerdict.done),
        ),
        2,
    ),
}


# A wrong `done` for a release gives keys away while their holder is at work on
# them; a wrong refusal of a grant ends its hold too early.
@pytest.mark.parametrize('case', _SEQUENCES.values(), ids=_SEQUENCES)
def test_answer_to_another_order_does_not_count(case: _Sequence) -> None:
    """Take no late or second answer for the answer to the present call."""
    server = ScriptedServer([step for _, step, _ in case.calls])

    # Only a silent server makes the call wait until the timeout.
    silent = any(step.silent for _, step, _ in case.calls)
    timeout = Seconds(0.3 if silent else 10)

    async def run() -> list[OrderVerdict]:
        verdicts = []
        async with serve_script(server):
            orders = PlatformOrders(timeout, timeout)
            for name, _, _ in case.calls:
                if name == 'grant':
                    ended = await orders.grant(_build_grant(server.port))
                else:
                    ended = await orders.release(_build_release(server.port))
                verdicts.append(ended.verdict)
        return verdicts

    assert trio.run(run) == [verdict for _, _, verdict in case.calls]
    assert server.connections == case.connections


# Guards against an answer of a server to no call, on a new connection or on an
# idle one, that is taken for the answer to the next call.
@pytest.mark.parametrize('name', _CALLS)
def test_bytes_before_the_call_are_no_answer(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Send nothing on a connection that has brought bytes already."""
    late = _return_late(sockets.open_stream)
    monkeypatch.setattr(sockets, 'open_stream', late)
    received: list[bytes] = []

    async def serve(stream: trio.SocketStream) -> None:
        await stream.send_all(_ANSWERS[name])
        # Fails once the other end has reset the connection.
        with suppress(trio.BrokenResourceError):
            received.append(bytes(await stream.receive_some()))

    async def run() -> OrderVerdict:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(trio.serve_tcp, serve, 0, host=_HOST)
            )
            port = listeners[0].socket.getsockname()[1]
            ended = await _CALLS[name](port, 0.3)
            nursery.cancel_scope.cancel()
        return ended.verdict

    assert trio.run(run) == OrderVerdict.rejected
    assert not any(received)


def _return_late(
    open_stream: Callable[..., Awaitable[trio.SocketStream | None]],
) -> Callable[..., Awaitable[trio.SocketStream | None]]:
    """Return a new connection only when bytes have arrived on it."""

    async def open_late(*arguments: object) -> trio.SocketStream | None:
        stream = await open_stream(*arguments)
        if stream is not None:
            await trio.lowlevel.wait_readable(stream.socket)
        return stream

    return open_late
