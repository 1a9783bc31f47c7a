"""Start a gateway with little work for the garbage collector.

A restart of all gateways ends only when the last has loaded its modules. What
is loaded lives as long as the process, so the collector need not look at it,
neither during the start nor later.
"""

import gc
from importlib import import_module

_PROGRAM = 'trefoilsaddle.programs.gateway'
# Allocations between two collections of young objects, and the numbers of such
# collections between those of older objects.  Requests leave few cycles.
_COLLECTION_THRESHOLDS = (10_000, 20, 20)


def start_gateway() -> None:
    """Load the program, exempt it from collections, and run it."""
    gc.disable()
    program = import_module(_PROGRAM)
    gc.freeze()
    gc.set_threshold(*_COLLECTION_THRESHOLDS)
    gc.enable()
    program.app()


if __name__ == '__main__':
    start_gateway()
