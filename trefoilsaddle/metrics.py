"""Send counters to statsd under a bounded set of names."""

from abc import ABC, abstractmethod
from re import compile as compile_pattern

from statsd import StatsClient

# Names come from the code, never from callers; the limits catch mistakes.
_NAME = compile_pattern('[a-z][a-z0-9_.-]{0,63}')
_MAX_NAMES = 512
_OVERFLOW_NAME = 'metrics.names_exceeded'


class Metrics(ABC):
    """Count events."""

    @abstractmethod
    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""


class NoMetrics(Metrics):
    """Discard every count, for a process without a statsd address."""

    def count(self, name: str, amount: int = 1) -> None:
        """Do nothing."""


class StatsdMetrics(Metrics):
    """Send counts to statsd over UDP."""

    def __init__(self, client: StatsClient) -> None:
        """Use a client that adds the prefix of the process."""
        self._client = client
        self._names: set[str] = set()

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter, or to the overflow counter for a bad name."""
        self._client.incr(self._check_name(name), amount)

    def _check_name(self, name: str) -> str:
        if name in self._names:
            return name
        if len(self._names) >= _MAX_NAMES or not _NAME.fullmatch(name):
            return _OVERFLOW_NAME
        self._names.add(name)
        return name


def build_metrics(host: str, port: int, prefix: str) -> Metrics:
    """Build the metrics for a statsd address."""
    return StatsdMetrics(StatsClient(host, port, prefix=prefix))


def join_name(component: str, name: str) -> str:
    """Join a component and a name into the name of a metric."""
    return '.'.join((component, name))
