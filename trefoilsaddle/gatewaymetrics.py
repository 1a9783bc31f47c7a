"""Provide a gateway's metrics in the Prometheus text format."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.events import OrderTimes

# Histogram bounds in seconds: from a fast answer to the longest deadline of
# callers that the users state.
_BUCKETS = (0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2, 4)
# Bounds for orders in seconds: from a round trip in a region (4 ms) and one
# between regions (40 ms) to the limits of a grant (0.25) and a release (2.5).
_ORDER_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5)
# Bounds for late timers in seconds: from one step of the event loop to the
# lease of the controller.
_LAG_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1)
# Maximum number of label values; only a bug creates more.
_MAX_LABELS = 64
_OVERFLOW = 'other'
_PREFIX = 'trefoil'


class GatewayMetrics:
    """Hold the metrics of one process."""

    def __init__(self) -> None:
        """Register all metrics."""
        self._registry = CollectorRegistry()
        self._events = Counter(
            'events',
            'Decisions by kind and reason.',
            ('kind', 'reason'),
            namespace=_PREFIX,
            registry=self._registry,
        )
        self._answers = Histogram(
            'answer_seconds',
            'Time from a request to its answer by a server.',
            namespace=_PREFIX,
            registry=self._registry,
            buckets=_BUCKETS,
        )
        self._orders = Histogram(
            'order_seconds',
            'Time from the decision of a grant or release to each step.',
            ('step',),
            namespace=_PREFIX,
            registry=self._registry,
            buckets=_ORDER_BUCKETS,
        )
        self._lag = Histogram(
            'loop_lag_seconds',
            'How late the event loop runs its timers.',
            namespace=_PREFIX,
            registry=self._registry,
            buckets=_LAG_BUCKETS,
        )
        self._state = Gauge(
            'state',
            'What the process believes and holds.',
            ('name',),
            namespace=_PREFIX,
            registry=self._registry,
        )
        self._labels: set[tuple[str, str]] = set()

    def count(self, kind: str, reason: str) -> None:
        """Increment the counter of an event."""
        label = (kind, reason)
        if label not in self._labels:
            if len(self._labels) >= _MAX_LABELS:
                label = (kind, _OVERFLOW)
            self._labels.add(label)
        self._events.labels(*label).inc()

    def observe_answer(self, seconds: float) -> None:
        """Record the time of an answer."""
        self._answers.observe(seconds)

    def observe_order(self, times: OrderTimes) -> None:
        """Record the times of an order's steps."""
        for step, time in times.list_steps():
            self._orders.labels(step).observe(time)

    def observe_lag(self, late: Seconds) -> None:
        """Record how late a timer ran."""
        self._lag.observe(late)

    def show_state(self, name: str, level: float) -> None:
        """Set a gauge of the process' state."""
        self._state.labels(name).set(level)

    def write_text(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)
