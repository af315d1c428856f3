"""Decision of a gate on one retry, with the state that it was based on."""

from enum import StrEnum
from typing import NamedTuple


class RetryCharge(StrEnum):
    """How a retry that arrived at a gate was charged to its retry budget."""

    #: Charged and admitted.
    GRANTED = "granted"
    #: Denied: the budget has no retry left for it.
    DENIED = "denied"
    #: Call of a run that is itself a retry: charged and admitted.
    INHERITED = "inherited"


class RetryBudgetState(NamedTuple):
    """State of a gate's retry budget.

    Parameters
    ==========

    age : float
        Seconds since the gate's process started to count.
    gates : int
        Number of gates by which it divides the fixed allowance; 0 while unknown.
    spent : int
        Retries charged in the window.
    allowed : float
        Retries allowed in the window.

    Examples
    ========

    >>> RetryBudgetState(3.5, 30, 12, 11.25).as_log_field()
    {'age_s': 3.5, 'gates': 30, 'spent': 12, 'allowed': 11.2}
    """

    age: float
    gates: int
    spent: int
    allowed: float

    def as_log_field(self) -> dict[str, object]:
        """Return the field of a log line."""
        return {
            "age_s": round(self.age, 2),
            "gates": self.gates,
            "spent": self.spent,
            "allowed": round(self.allowed, 1),
        }


class RetryDecision(NamedTuple):
    """How one retry was charged.

    Parameters
    ==========

    charge : RetryCharge
        How it was charged.
    before : RetryBudgetState
        State of the budget before.
    bucket : int
        Number of the time bucket in which it was counted.
    """

    charge: RetryCharge
    before: RetryBudgetState
    bucket: int

    def as_log_field(self) -> dict[str, object]:
        """Return the field of a log line."""
        return {"charge": str(self.charge), **self.before.as_log_field()}
