"""Test the connections between gateways and the controller."""

from functools import partial

import trio

from tests.gatewayscenes import build_configuration
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import DialController, SendConfiguration
from trefoilsaddle.gateway.events import (
    ConfigurationCopied,
    Event,
    PeerLinked,
)
from trefoilsaddle.gateway.peermessages import Report
from trefoilsaddle.gateway.table import GatewayAddress
from trefoilsaddle.programs.gatewaylinks import ControllerLink, ControllerServer
from trefoilsaddle.results import ResultCode

_HOST = '127.0.0.1'
# About the size of a configuration with some thousand routes.
_WRITTEN = b'{"route": "/reads/"}' * 20_000
_TEST_TIMEOUT = Seconds(20)


def _decode(encoded: bytes) -> Configuration | Failure:
    if encoded != _WRITTEN:
        return Failure(ResultCode.malformed, 'not what was written')
    return build_configuration(7)


def test_a_large_configuration_is_passed_on_whole() -> None:
    """Deliver a large configuration to a gateway byte for byte."""
    assert trio.run(_pass_on) == ConfigurationCopied(build_configuration(7))


async def _pass_on() -> Event:
    send, receive = trio.open_memory_channel[Event](9)
    server = ControllerServer(send.send_nowait)
    listeners = await trio.open_tcp_listeners(0, host=_HOST)
    port = listeners[0].socket.getsockname()[1]
    own = GatewayAddress(NodeId('gate-2'), 2, _HOST, 1)
    link = ControllerLink(
        send.send_nowait, Report(own, Seconds(0), (), ()), _decode
    )
    link.dial(
        DialController(GatewayAddress(NodeId('gate-1'), 1, _HOST, port)),
    )
    copied: Event | None = None
    with trio.fail_after(_TEST_TIMEOUT):
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_listeners, server.serve, listeners)
            nursery.start_soon(serve)
            nursery.start_soon(link.run)
            while not isinstance(copied, ConfigurationCopied):
                copied = await receive.receive()
                if isinstance(copied, PeerLinked):
                    server.send_configuration(
                        SendConfiguration(NodeId('gate-2'), _WRITTEN)
                    )
            nursery.cancel_scope.cancel()
    return copied
