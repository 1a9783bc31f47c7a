"""Count into statsd, with a bounded set of names."""

from abc import ABC, abstractmethod
from re import compile as compile_pattern

from statsd import StatsClient

# Names come from the code, never from callers; this catches a slip.
_NAME = compile_pattern('[a-z][a-z0-9_.-]{0,63}')
_MAX_NAMES = 512
_OVERFLOW_NAME = 'metrics.names_exceeded'


class Metrics(ABC):
    """Take counts and durations."""

    @abstractmethod
    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""


class NoMetrics(Metrics):
    """Drop every count, for a process without a statsd address."""

    def count(self, name: str, amount: int = 1) -> None:
        """Do nothing."""


class StatsdMetrics(Metrics):
    """Send counts to statsd by UDP."""

    def __init__(self, client: StatsClient) -> None:
        """Count through a client that holds the process's prefix."""
        self._client = client
        self._names: set[str] = set()

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter, or to one for names that are not allowed."""
        self._client.incr(self._check_name(name), amount)

    def _check_name(self, name: str) -> str:
        if name in self._names:
            return name
        if len(self._names) >= _MAX_NAMES or not _NAME.fullmatch(name):
            return _OVERFLOW_NAME
        self._names.add(name)
        return name


def build_metrics(host: str, port: int, prefix: str) -> Metrics:
    """Connect to a statsd address."""
    return StatsdMetrics(StatsClient(host, port, prefix=prefix))


def join_name(part: str, name: str) -> str:
    """Name a metric under its part's prefix."""
    return '.'.join((part, name))
