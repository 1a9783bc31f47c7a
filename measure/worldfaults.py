"""Define the faults of a simulation."""

from dataclasses import dataclass

from trefoilsaddle.core.units import Seconds


@dataclass(slots=True)
class Faults:
    """Fractions of calls that fail, and the delays of late ones."""

    # Grants that get no answer and are applied later.
    late_orders: float = 0
    max_late_delay: Seconds = Seconds(4)
    # Grants that are queued on a busy link until after their calls have timed
    # out, and their longest further delay.
    queued_orders: float = 0
    max_queue_delay: Seconds = Seconds(2.5)
    # Appends that are stored but get no answer.
    lost_appends: float = 0
    # Appends that the store refuses, for example by its rate limit.
    refused_appends: float = 0
    store_down: bool = False
