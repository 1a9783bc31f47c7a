"""Run a dispatcher, the only process that sends requests to its servers."""

import trio

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.logs import start_logging
from trefoilsaddle.programs.commandline import build_app, end_command
from trefoilsaddle.programs.commands import SettingsPath, load_settings
from trefoilsaddle.programs.process import run_process, wait_for_stop
from trefoilsaddle.settings import DispatcherSettings

app = build_app()


@app.command()
def run_dispatcher(settings: SettingsPath) -> None:
    """Run a dispatcher until SIGTERM, which cuts no request in flight.

    It takes requests from entry processes, queues them by rank and sends
    them to the backend servers that the log has given to it. SIGUSR1 writes
    a dump of its state to its log.
    """
    loaded = load_settings(settings, DispatcherSettings)
    start_logging(loaded.log_level)
    failure = trio.run(run_process, loaded, wait_for_stop)
    if isinstance(failure, Failure):
        end_command(failure)
