"""Write log lines: short sentences with a fixed prefix for each part."""

import sys
from enum import Enum, unique

from loguru import logger

from trefoilsaddle.core.effects import Component

_LINE = '{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level} {extra[part]}: {message}'


@unique
class ShellPart(Enum):
    """Name the parts outside the core that write lines."""

    programs = 'program'
    wire = 'wire'
    callers = 'callers'


def start_logging(level: str) -> None:
    """Write lines of a level and above to the standard error stream."""
    logger.remove()
    # Variables of a failing frame could show keys and bodies.
    logger.add(
        sys.stderr,
        level=level,
        format=_LINE,
        backtrace=False,
        diagnose=False,
    )


def write_line(part: Component | ShellPart, sentence: str) -> None:
    """Write one sentence under a part's prefix."""
    logger.bind(part=part.value).info(sentence)


def write_warning(part: Component | ShellPart, sentence: str) -> None:
    """Write one sentence that an operator should see."""
    logger.bind(part=part.value).warning(sentence)
