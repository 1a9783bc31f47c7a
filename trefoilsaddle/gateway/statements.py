"""Define what a server states about itself in the head of an answer."""

from dataclasses import dataclass

from trefoilsaddle.core.units import Seconds


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold the load that a server reports of itself."""

    running: int
    waiting: int
    slots: int
    # Time that work takes now, as a multiple of the usual time.
    slowness: float = 1


@dataclass(frozen=True, slots=True)
class ServerStatement:
    """Hold the statements of one answer."""

    # Requests per second that the server takes from all gateways together; None
    # if the answer names no limit.
    limit: float | None = None
    # True if the answer shows that the server has no limit: it could have named
    # one, and did not.
    unlimited: bool = False
    # True if the server is about to leave.
    leaving: bool = False
    # Time for which it wants no request from this gateway.
    pause: Seconds = Seconds(0)
    # Load when the answer was sent; None if the server does not report it.
    load: LoadReport | None = None
