"""Find refused requests for which a server had idle capacity."""

from dataclasses import dataclass, field

# Length of the steps over which idle time is summed, in seconds.
_STEP = 0.02


@dataclass(frozen=True, slots=True)
class RefusedRequest:
    """Time span in which a refused request could have run, and its duration."""

    begin: float
    end: float
    service_time: float


@dataclass(slots=True)
class IdleTime:
    """Idle slot time of one server, summed by step."""

    steps: list[float] = field(default_factory=list)
    since: float = 0

    def record(self, now: float, idle_slots: int) -> None:
        """Add the idle time since the last change."""
        time = self.since
        self.since = now
        while time < now:
            step = int(time / _STEP)
            end = min(now, (step + 1) * _STEP)
            # Always advance, even if rounding puts the end of the step at the
            # current time.
            end = max(end, time + _STEP / 1000)
            self._add(step, (end - time) * idle_slots)
            time = end

    def _add(self, step: int, amount: float) -> None:
        while len(self.steps) <= step:
            self.steps.append(0)
        self.steps[step] += amount


@dataclass(slots=True)
class IdleMatching:
    """Assignment of idle time to refused requests, each second at most once."""

    idle_left: list[float]
    # Next step with idle time left, by step; paths are shortened on look-up.
    next_idle: list[int]

    def place(self, refused: RefusedRequest) -> bool:
        """Assign idle time to a request; return whether there was enough."""
        used_steps: list[int] = []
        found: float = 0
        step = self._find(int(refused.begin / _STEP) + 1)
        last = min(int(refused.end / _STEP), len(self.idle_left))
        while step < last and found < refused.service_time:
            used_steps.append(step)
            found += self.idle_left[step]
            step = self._find(step + 1)
        if found < refused.service_time:
            return False
        self._consume(used_steps, found - refused.service_time)
        return True

    def _consume(self, used_steps: list[int], rest: float) -> None:
        for step in used_steps:
            self.idle_left[step] = 0
            self.next_idle[step] = step + 1
        if rest > 0:
            self.idle_left[used_steps[-1]] = rest
            self.next_idle[used_steps[-1]] = used_steps[-1]

    def _find(self, step: int) -> int:
        """Return the first step with idle time left, from a given step on."""
        found = min(step, len(self.idle_left))
        while self.next_idle[found] != found:
            self.next_idle[found] = self.next_idle[self.next_idle[found]]
            found = self.next_idle[found]
        return found


def match_idle_time(
    idle: IdleTime, refusals: list[RefusedRequest]
) -> list[bool]:
    """Return for each refusal whether idle capacity could have run it.

    Idle time is assigned in the order of the ends, each second at most once.
    """
    size = len(idle.steps)
    next_idle = [
        step if step == size or idle.steps[step] > 0 else step + 1
        for step in range(size + 1)
    ]
    matching = IdleMatching(list(idle.steps), next_idle)
    fits = [False for _ in refusals]
    ends = [refused.end for refused in refusals]
    for position in sorted(range(len(ends)), key=ends.__getitem__):
        fits[position] = matching.place(refusals[position])
    return fits
