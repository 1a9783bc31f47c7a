"""Limit the retries of an entry process to a fraction of its calls."""

from dataclasses import dataclass

# Most retries in the budget: enough for the calls of one lost dispatcher.
_MAX_BALANCE = 50.0


@dataclass(slots=True)
class RetryBudget:
    """Implement a token bucket that calls fill and retries empty."""

    balance: float = _MAX_BALANCE

    def earn(self, fraction: float) -> None:
        """Add the fraction of a retry that one call earns."""
        self.balance = min(self.balance + fraction, _MAX_BALANCE)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
