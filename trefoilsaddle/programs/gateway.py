"""Run a gateway process: listeners, signals and settings."""

from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from functools import partial
from pathlib import Path
from random import SystemRandom
from signal import SIGHUP, SIGUSR1

import trio

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.decisionlog import start_decision_log
from trefoilsaddle.gateway.effects import Component
from trefoilsaddle.gateway.events import (
    DumpRequested,
    Started,
)
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.state import build_gateway
from trefoilsaddle.http import sockets
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.callers import CallerConnection
from trefoilsaddle.http.connections import OpenConnections
from trefoilsaddle.http.pipeline import CallerService
from trefoilsaddle.http.requestbodies import BodyBudget, build_body_budget
from trefoilsaddle.http.unanswered import UnansweredCount
from trefoilsaddle.platform.settings import (
    Address,
    GatewaySettings,
    read_settings,
)
from trefoilsaddle.programs.gatewayshell import GatewayShell
from trefoilsaddle.programs.readiness import ReadinessService
from trefoilsaddle.programs.stopsignal import watch_stop_signal
from trefoilsaddle.results import ResultCode

_RUN_BITS = 48
_Serve = Callable[[trio.SocketStream], Awaitable[None]]


def run_gateway(path: Path) -> Failure | None:
    """Run a gateway until SIGTERM, which cuts no request in flight.

    SIGHUP reads the settings again, SIGUSR1 writes a dump of the state to
    the log. Fails with settings_invalid.
    """
    run = SystemRandom().getrandbits(_RUN_BITS)
    loaded = read_settings(path, run)
    if isinstance(loaded, Failure):
        return loaded
    return trio.run(serve_gateway, loaded, path)


async def serve_gateway(
    settings: GatewaySettings,
    path: Path,
) -> Failure | None:
    """Run a gateway until a graceful stop has ended (settings_invalid)."""
    gateway = build_gateway(settings.options)
    log = start_decision_log(settings.options.node)
    async with trio.open_nursery() as nursery:
        shell = GatewayShell(gateway, settings, log, nursery)
        failure = await _open_listeners(shell, settings, nursery)
        if failure is not None:
            nursery.cancel_scope.cancel()
            return failure
        nursery.start_soon(shell.run)
        nursery.start_soon(_watch_signals, shell, path)
        nursery.start_soon(watch_stop_signal, shell)
        shell.feed(Started())
        await shell.exited.wait()
        nursery.cancel_scope.cancel()
    return None


async def _open_listeners(
    shell: GatewayShell,
    settings: GatewaySettings,
    nursery: trio.Nursery,
) -> Failure | None:
    for address, serve_connection in _list_served(shell, settings):
        listener = sockets.listen(address.host, address.port)
        if listener is None:
            reason = f'{address.host}:{address.port} is not free'
            return Failure(ResultCode.settings_invalid, reason)
        serve = partial(shell.containment.run, 'connection', serve_connection)
        nursery.start_soon(trio.serve_listeners, serve, [listener])
    return None


def _list_served(
    shell: GatewayShell, settings: GatewaySettings
) -> tuple[tuple[Address, _Serve], ...]:
    """List the addresses of the process and what serves connections there."""
    calls = shell.calls
    budget = calls.servers.budget
    serve = partial(serve_caller, bodies=shell.bodies)
    # Probes do not hold a process that stops.
    serve_probe = partial(
        serve, ReadinessService(shell), budget, UnansweredCount()
    )
    serve_call = partial(
        serve, calls, budget, calls.unanswered, opened=shell.callers
    )
    peers = Address(settings.options.host, settings.options.port)
    return (
        (settings.callers, serve_call),
        (settings.ready, serve_probe),
        (settings.metrics, serve_probe),
        (peers, shell.controller.serve),
    )


async def serve_caller(
    service: CallerService,
    budget: AnswerBudget,
    count: UnansweredCount,
    stream: trio.SocketStream,
    *,
    bodies: BodyBudget | None = None,
    opened: OpenConnections | None = None,
) -> None:
    """Serve a connection of a caller, or of the platform."""
    sockets.set_caller_options(stream)
    bodies = bodies or build_body_budget()
    connection = CallerConnection(service, stream, budget, count, bodies)
    with ExitStack() as stack:
        bodies.open_connection()
        stack.callback(bodies.close_connection)
        if opened is not None:
            if not opened.add(connection):
                connection.displace()
            stack.callback(opened.remove, connection)
        await connection.serve()


async def _watch_signals(shell: GatewayShell, path: Path) -> None:
    with trio.open_signal_receiver(SIGHUP, SIGUSR1) as signals:
        async for number in signals:
            if number == SIGUSR1:
                shell.feed(DumpRequested())
            else:
                await shell.containment.run(
                    'settings', _check_settings, shell, path
                )


async def _check_settings(shell: GatewayShell, path: Path) -> None:
    # Addresses and limits of a running process do not change.  The file is
    # validated only, so that a fault is logged before the next start.
    loaded = read_settings(path, shell.gateway.options.run)
    outcome = 'valid'
    if isinstance(loaded, Failure):
        outcome = loaded.reason
    shell.write(
        log_event(Component.lifecycle, 'settings read again', outcome=outcome)
    )
