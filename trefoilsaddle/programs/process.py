"""Run an entry process or dispatcher from start to graceful shutdown."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from signal import SIGINT, SIGTERM, SIGUSR1

from trio import Event as Signal
from trio import (
    SocketListener,
    open_nursery,
    open_signal_receiver,
    open_tcp_listeners,
    serve_listeners,
)

from trefoilsaddle.backend.client import HttpBackendClient
from trefoilsaddle.clock import Clock, SystemClock
from trefoilsaddle.core.configuration import ServerPolicy
from trefoilsaddle.core.effects import SendMessage
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import DumpRequested, Started, StopRequested
from trefoilsaddle.core.node import Node, build_node
from trefoilsaddle.core.units import NodeId, ServerId
from trefoilsaddle.logs import ShellComponent, write_line
from trefoilsaddle.logservice.hostlist import HttpHostList
from trefoilsaddle.logservice.logclient import HttpLogClient
from trefoilsaddle.metrics import Metrics, NoMetrics, build_metrics
from trefoilsaddle.programs.commands import build_service_address
from trefoilsaddle.programs.exchanges import Exchanges
from trefoilsaddle.programs.peerevents import MessageSender, PeerEvents
from trefoilsaddle.programs.performer import Performer, Tools
from trefoilsaddle.results import ResultCode
from trefoilsaddle.settings import (
    AddressSettings,
    DispatcherSettings,
    build_options,
)
from trefoilsaddle.traces import LineRecorder, NoRecorder, Recorder, open_trace
from trefoilsaddle.tracesecrets import AliasRedactor, NoRedactor
from trefoilsaddle.wire.greeting import Identity
from trefoilsaddle.wire.peers import PeerLimits, Peers


@dataclass(frozen=True, slots=True)
class ProcessContext:
    """Hold the running process for the function that serves its users."""

    performer: Performer
    metrics: Metrics
    # Set when a graceful shutdown is requested.
    stopping: Signal


Serve = Callable[[ProcessContext], Awaitable[None]]


async def wait_for_stop(context: ProcessContext) -> None:
    """Serve only peers until a shutdown is requested."""
    await context.stopping.wait()


async def run_process(
    settings: DispatcherSettings,
    serve: Serve,
) -> Failure | None:
    """Run a process until its graceful shutdown (settings_invalid)."""
    node = build_node(build_options(settings))
    tools = _build_tools(settings, node)
    listeners = await _listen(settings.listen)
    if isinstance(listeners, Failure):
        return listeners
    async with open_nursery() as nursery:
        performer = Performer(node, tools, nursery)
        listener = PeerEvents(performer, tools.metrics)
        peers = Peers(
            _build_identity(settings), PeerLimits(), listener, nursery
        )
        sender = MessageSender(performer, peers)
        performer.attach_action(SendMessage, sender.send_message)
        nursery.start_soon(serve_listeners, peers.accept_stream, listeners)
        nursery.start_soon(performer.run_timers)
        context = ProcessContext(performer, tools.metrics, Signal())
        nursery.start_soon(_watch_signals, context)
        await _run_until_exit(context, serve)
        await peers.flush()
        nursery.cancel_scope.cancel()
    write_line(ShellComponent.programs, 'stopped')
    return None


async def _listen(address: AddressSettings) -> list[SocketListener] | Failure:
    host = str(address.host)
    try:
        return await open_tcp_listeners(address.port, host=host)
    except OSError:
        reason = f'listen: expected a free address, not {host}:{address.port}'
        return Failure(ResultCode.settings_invalid, reason)


async def _run_until_exit(context: ProcessContext, serve: Serve) -> None:
    context.performer.feed_event(Started())
    write_line(ShellComponent.programs, 'started')
    await serve(context)
    context.performer.feed_event(StopRequested())
    await context.performer.exited.wait()


async def _watch_signals(context: ProcessContext) -> None:
    with open_signal_receiver(SIGTERM, SIGINT, SIGUSR1) as signals:
        async for number in signals:
            if number == SIGUSR1:
                context.performer.feed_event(DumpRequested())
            else:
                write_line(ShellComponent.programs, 'stopping on request')
                context.stopping.set()


def _build_tools(settings: DispatcherSettings, node: Node) -> Tools:
    clock = SystemClock()
    exchanges = Exchanges(
        clock=clock,
        log=HttpLogClient(build_service_address(settings.platform.log)),
        hosts=HttpHostList(build_service_address(settings.platform.hosts)),
        backends=build_backends(node, clock),
    )
    metrics = _build_metrics(settings)
    return Tools(exchanges, metrics, _build_recorder(settings, node))


def build_backends(node: Node, clock: Clock) -> HttpBackendClient:
    """Build the client of the backend servers in the newest view."""
    return HttpBackendClient(
        node.options.node,
        partial(_find_server, node),
        clock.read_monotonic,
    )


def _find_server(node: Node, server: ServerId) -> ServerPolicy | None:
    # Looks up `node.view` on each call, since catching up replaces the view.
    return node.view.server(server)


def _build_recorder(settings: DispatcherSettings, node: Node) -> Recorder:
    trace = settings.trace
    if trace is None:
        return NoRecorder()
    redactor = NoRedactor() if trace.clear else AliasRedactor()
    started = SystemClock().read_moment().wall
    output = open_trace(trace.folder, node.options.node, started)
    return LineRecorder(output, node.options, redactor)


def _build_identity(settings: DispatcherSettings) -> Identity:
    secret = settings.secret.get_secret_value().encode()
    return Identity(NodeId(settings.node), secret)


def _build_metrics(settings: DispatcherSettings) -> Metrics:
    address = settings.statsd
    if address is None:
        return NoMetrics()
    prefix = f'trefoil.{settings.node}'
    return build_metrics(str(address.host), address.port, prefix)
