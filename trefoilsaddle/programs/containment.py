"""Keep an unexpected error in the task or event in which it occurs.

The error is logged with the place where it was raised. A connection that fails
is closed; what waits for a result gets one that says that nothing is known.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from traceback import extract_tb
from typing import Any, TypeVar

import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import Component, Effect, WriteDecision
from trefoilsaddle.gateway.events import Event
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.programs.unknownresults import build_unknown

_Effect = TypeVar('_Effect')
_Ended = TypeVar('_Ended')

# Pause before what failed unexpectedly starts again: the reducer may repeat a
# call at once.
_PAUSE = Seconds(0.3)

# Innermost calls that are named in a log line.
_MAX_FRAMES = 3
_MAX_TEXT = 200


@dataclass(frozen=True, slots=True)
class Containment:
    """Log unexpected errors instead of passing them on."""

    write: Callable[[WriteDecision], None]

    async def run(
        self,
        task: str,
        run: Callable[..., Awaitable[None]],
        *arguments: object,
    ) -> None:
        """Run a task to its end, also if that is an unexpected error."""
        try:
            await run(*arguments)
        except Exception as error:
            self.log_error(task, error)

    async def keep_running(
        self, task: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a task that ends only by an unexpected error, again and again."""
        while True:
            await self.run(task, run)
            await trio.sleep(_PAUSE)

    async def call(
        self,
        call: Callable[[_Effect], Awaitable[_Ended]],
        effect: _Effect,
        build_unknown: Callable[[_Effect], _Ended],
    ) -> _Ended:
        """Return the result of a call, or that it is unknown."""
        try:
            return await call(effect)
        except Exception as error:
            self.log_error(type(effect).__name__, error)
        await trio.sleep(_PAUSE)
        return build_unknown(effect)

    async def call_store(
        self, call: Callable[[Any], Awaitable[Event]], effect: Effect
    ) -> Event:
        """Return the result of a call to the store, or that it is unknown."""
        return await self.call(call, effect, build_unknown)

    def log_error(self, place: str, error: Exception) -> None:
        """Log an unexpected error."""
        frames = extract_tb(error.__traceback__)[-_MAX_FRAMES:]
        raised_at = ' '.join(f'{frame.name}:{frame.lineno}' for frame in frames)
        line = log_event(
            Component.lifecycle,
            'unexpected error',
            place=place,
            kind=type(error).__name__,
            text=str(error)[:_MAX_TEXT],
            raised_at=raised_at,
        )
        self.write(line)
