"""Test grant and release calls that time out, over loopback."""

import socket
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from threading import Thread

import pytest
import trio

from trefoilsaddle.core.units import Seconds, ServerId, ServiceName, ZoneName
from trefoilsaddle.gateway.effects import GrantKeys, ReleaseKeys
from trefoilsaddle.gateway.events import OrderEnded, OrderVerdict
from trefoilsaddle.gateway.keys import ALL_KEYS
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.platform.orders import PlatformOrders

_HOST = '127.0.0.1'
_INCARNATION = ServerIncarnation(ServerId('i-1'), 5)
_SERVICE = ServiceName('guide')
_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'


async def _grant(port: int, timeout: float) -> OrderEnded:
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
    orders = PlatformOrders(Seconds(timeout), Seconds(timeout))
    return await orders.grant(GrantKeys(server, ALL_KEYS, 7, Seconds(2), ''))


async def _release(port: int, timeout: float) -> OrderEnded:
    orders = PlatformOrders(Seconds(timeout), Seconds(timeout))
    return await orders.release(
        ReleaseKeys(_SERVICE, _INCARNATION, _HOST, port, ALL_KEYS, 7),
    )


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
@pytest.mark.parametrize('call', _CALLS.values(), ids=_CALLS)
def test_answer_that_came_while_the_process_was_busy_counts(
    call: _Call,
) -> None:
    """Read an answer that arrived while the process was busy."""

    async def run(port: int) -> OrderEnded:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_keep_busy)
            ended = await call(port, 0.02)
            nursery.cancel_scope.cancel()
        return ended

    with socket.create_server((_HOST, 0)) as listener:
        Thread(target=_answer, args=(listener,), daemon=True).start()
        ended = trio.run(run, listener.getsockname()[1])
    assert ended.verdict == OrderVerdict.done


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


def _answer(listener: socket.socket) -> None:
    connection, _ = listener.accept()
    with connection:
        connection.recv(4096)
        connection.sendall(_ANSWER)
        # Wait until the other end closes the connection.
        connection.recv(1)
