"""Bound the retries of an entry process to a fraction of its calls."""

from dataclasses import dataclass

# Retries that may be saved up, so that one lost dispatcher's calls fit in.
_MAX_BALANCE = 50.0


@dataclass(slots=True)
class RetryBudget:
    """Earn a fraction of a retry with each call; spend one by one."""

    balance: float = _MAX_BALANCE

    def earn(self, fraction: float) -> None:
        """Add the share of a retry that one call earns."""
        self.balance = min(self.balance + fraction, _MAX_BALANCE)

    def spend(self) -> bool:
        """Take one retry out of the budget, if there is one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
