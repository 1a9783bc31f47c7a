"""Write log lines with a fixed prefix for each component."""

import sys
from enum import Enum, unique

from loguru import logger

from trefoilsaddle.core.effects import Component

_LINE = '{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level} {extra[part]}: {message}'


@unique
class ShellComponent(Enum):
    """Name the components outside the core that write log lines."""

    programs = 'program'
    wire = 'wire'
    callers = 'callers'


def start_logging(level: str) -> None:
    """Write log lines of a level and above to standard error."""
    logger.remove()
    # Tracebacks with the values of variables could show keys and bodies.
    logger.add(
        sys.stderr,
        level=level,
        format=_LINE,
        backtrace=False,
        diagnose=False,
    )


def write_line(component: Component | ShellComponent, sentence: str) -> None:
    """Write one line at level INFO under a component's prefix."""
    logger.bind(part=component.value).info(sentence)


def write_warning(component: Component | ShellComponent, sentence: str) -> None:
    """Write one line at level WARNING under a component's prefix."""
    logger.bind(part=component.value).warning(sentence)
