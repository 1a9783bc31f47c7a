"""Start a gateway with little work before it serves.

A restart of all gateways ends only when the last has loaded its modules. What
is loaded lives as long as the process, so the collector need not look at it,
neither during the start nor later; and the platform starts a gateway without
arguments, so that the command line is not loaded.
"""

import gc
import os
import sys
from importlib import import_module
from pathlib import Path
from signal import SIG_IGN, SIGHUP, signal

_SETTINGS_NAME = 'TREFOILSADDLE_CONFIG'
_PROGRAM = 'trefoilsaddle.programs.gateway'
_COMMAND = 'trefoilsaddle.programs.gatewaycommand'
_COMMAND_LINE = 'trefoilsaddle.programs.commandline'
# Allocations between two collections of young objects, and the numbers of such
# collections between those of older objects.  Requests leave few cycles.
_COLLECTION_THRESHOLDS = (10_000, 20, 20)


def start_gateway() -> None:
    """Load the program, exempt it from collections, and run it."""
    settings = os.environ.get(_SETTINGS_NAME)
    plain = settings is not None and len(sys.argv) == 1
    # The program handles it once it runs; until then it would end the process,
    # and the settings are read later anyway.
    signal(SIGHUP, SIG_IGN)
    gc.disable()
    program = import_module(_PROGRAM if plain else _COMMAND)
    gc.freeze()
    gc.set_threshold(*_COLLECTION_THRESHOLDS)
    gc.enable()
    if settings is None or not plain:
        program.app()
        return
    failure = program.run_gateway(Path(settings))
    if failure is not None:
        sys.exit(import_module(_COMMAND_LINE).report_failure(failure))


if __name__ == '__main__':
    start_gateway()
