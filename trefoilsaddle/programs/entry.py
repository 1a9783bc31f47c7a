"""Run an entry process: HTTP for callers, messages to dispatchers."""

from functools import partial
from typing import cast

import trio
from hypercorn.trio import serve as serve_http
from hypercorn.typing import ASGIFramework

from trefoilsaddle.core.configuration import Configuration
from trefoilsaddle.core.effects import AnswerCaller
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import Event
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.logs import ShellComponent, start_logging
from trefoilsaddle.metrics import join_name
from trefoilsaddle.programs.callers import Callers, CallShell
from trefoilsaddle.programs.commandline import build_app, end_command
from trefoilsaddle.programs.commands import SettingsPath, load_settings
from trefoilsaddle.programs.httpserver import build_config, open_listener
from trefoilsaddle.programs.process import ProcessContext, run_process
from trefoilsaddle.results import ResultCode
from trefoilsaddle.settings import EntrySettings

app = build_app()

# Time before a shutdown in which answers carry `Connection: close`.
_CLOSING_NOTICE = Seconds(0.5)


class _ProcessShell(CallShell):
    """Connect the callers with the reducer of this process."""

    def __init__(self, context: ProcessContext) -> None:
        self._context = context
        self._node = context.performer.node

    def feed_event(self, event: Event) -> None:
        """Reduce an event and perform its effects."""
        self._context.performer.feed_event(event)

    def read_configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return self._node.view.configuration

    def count_refusal(self, code: ResultCode) -> None:
        """Count a request that was refused before the reducer saw it."""
        name = join_name(ShellComponent.callers.value, code.name)
        self._context.metrics.count(name)


@app.command()
def run_entry(settings: SettingsPath) -> None:
    """Run an entry process until SIGTERM, which cuts no request in flight.

    It takes callers' requests over HTTP and forwards each to the dispatcher
    of the backend server that owns its key. SIGUSR1 writes a dump of its
    state to its log.
    """
    loaded = load_settings(settings, EntrySettings)
    start_logging(loaded.log_level)
    address = loaded.callers
    listener = open_listener(str(address.host), address.port)
    if isinstance(listener, Failure):
        end_command(listener)
    serve = partial(serve_callers, settings=loaded, listener=listener)
    failure = trio.run(run_process, loaded, serve)
    if isinstance(failure, Failure):
        end_command(failure)


async def serve_callers(
    context: ProcessContext,
    settings: EntrySettings,
    listener: int,
) -> None:
    """Serve HTTP until a shutdown is requested and all calls are answered."""
    bind = f'fd://{listener}'
    callers = Callers(_ProcessShell(context))
    context.performer.attach_action(AnswerCaller, callers.deliver_answer)
    config = build_config(bind, settings.pace.stop_timeout)
    await serve_http(
        cast(ASGIFramework, callers),
        config,
        shutdown_trigger=partial(_announce_closing, context, callers),
        mode='asgi',
    )


async def _announce_closing(context: ProcessContext, callers: Callers) -> None:
    await context.stopping.wait()
    callers.closing = True
    await trio.sleep(_CLOSING_NOTICE)
