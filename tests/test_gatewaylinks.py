"""Test the connections between gateways and the controller."""

from functools import partial

import pytest
import trio

from tests.gatewayscenes import build_configuration
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import NodeId, Seconds, Version
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import (
    AskConfiguration,
    DialController,
    SendConfiguration,
)
from trefoilsaddle.gateway.events import (
    ClockAnswered,
    ConfigurationCopied,
    ConfigurationWanted,
    Event,
    LinkOpened,
    PeerLinked,
    RelayAssigned,
)
from trefoilsaddle.gateway.peermessages import ClockAnswer, RelayNamed, Report
from trefoilsaddle.gateway.table import GatewayAddress
from trefoilsaddle.programs.gatewaylinks import (
    ConfigurationExchange,
    ControllerLink,
    ControllerServer,
)
from trefoilsaddle.results import ResultCode
from trefoilsaddle.wire.deflating import Deflater
from trefoilsaddle.wire.framing import pack_frame
from trefoilsaddle.wire.gatewaycodec import encode_peer_message

_HOST = '127.0.0.1'
_NODE = NodeId('gate-2')
# About the size of a configuration with some thousand routes.
_WRITTEN = b'{"route": "/reads/"}' * 20_000
_TEST_TIMEOUT = Seconds(20)
_LEAVING_TIME = Seconds(0.2)


def _decode(encoded: bytes) -> Configuration | Failure:
    if encoded != _WRITTEN:
        return Failure(ResultCode.malformed, 'not what was written')
    return build_configuration(7)


@pytest.mark.parametrize('asked', [None, _NODE], ids=['controller', 'gateway'])
def test_a_large_configuration_is_passed_on_whole(asked: NodeId | None) -> None:
    """Deliver a large configuration byte for byte from the end that is asked."""
    copied = ConfigurationCopied(build_configuration(7))
    assert trio.run(_pass_on, asked) == copied


async def _pass_on(asked: NodeId | None) -> Event:
    send, receive = trio.open_memory_channel[Event](9)
    server = ControllerServer(send.send_nowait, _decode)
    listeners = await trio.open_tcp_listeners(0, host=_HOST)
    port = listeners[0].socket.getsockname()[1]
    own = GatewayAddress(_NODE, 2, _HOST, 1)
    link = ControllerLink(send.send_nowait, _decode)
    link.dial(
        DialController(GatewayAddress(NodeId('gate-1'), 1, _HOST, port)),
    )
    copies = ConfigurationExchange(server, link)
    copied: Event | None = None
    with trio.fail_after(_TEST_TIMEOUT):
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_listeners, server.serve, listeners)
            nursery.start_soon(serve)
            nursery.start_soon(link.run)
            while not isinstance(copied, ConfigurationCopied):
                copied = await receive.receive()
                if isinstance(copied, LinkOpened):
                    link.push(Report(own, Seconds(0), (), ()))
                elif isinstance(copied, PeerLinked):
                    copies.request(AskConfiguration(Version(1), asked))
                elif isinstance(copied, ConfigurationWanted):
                    copies.send(SendConfiguration(copied.node, _WRITTEN))
            nursery.cancel_scope.cancel()
    return copied


# Guards against what is taken for provably recent (CONFIG) by the clock of an
# earlier peer, whose messages were handled after the next one was dialed.
def test_messages_of_an_earlier_peer_are_dropped() -> None:
    """Drop what the old peer sent behind the message that names a relay."""
    assert trio.run(_leave_for_relay) == [RelayAssigned(_RELAY)]


_RELAY = GatewayAddress(NodeId('gate-3'), 3, _HOST, 1)


async def _leave_for_relay() -> list[Event]:
    """Return what the link feeds of two messages that arrive together."""
    fed: list[Event] = []

    def feed(event: Event) -> None:
        fed.append(event)
        if isinstance(event, RelayAssigned):
            link.dial(DialController(event.relay))

    async def serve(stream: trio.SocketStream) -> None:
        deflater = Deflater()
        messages = (RelayNamed(_RELAY), ClockAnswer(Seconds(1), Seconds(2)))
        frames = b''.join(
            pack_frame(deflater.deflate(encode_peer_message(message)))
            for message in messages
        )
        await stream.send_all(frames)
        await trio.sleep_forever()

    listeners = await trio.open_tcp_listeners(0, host=_HOST)
    port = listeners[0].socket.getsockname()[1]
    link = ControllerLink(feed, _decode)
    link.dial(DialController(GatewayAddress(NodeId('gate-1'), 1, _HOST, port)))
    with trio.move_on_after(_LEAVING_TIME):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, serve, listeners)
            nursery.start_soon(link.run)
    kept = (RelayAssigned, ClockAnswered)
    return [event for event in fed if isinstance(event, kept)]
