"""Decision of a gate on one retry, with the state that it was based on."""

from enum import StrEnum
from typing import NamedTuple


class RetryCharge(StrEnum):
    """How a retry that arrived at a gate was charged to its retry budget."""

    #: Charged and admitted.
    GRANTED = "granted"
    #: Denied: the budget has no retry left for its rank.
    DENIED = "denied"
    #: Call of a run that is itself a retry: charged, and never denied.
    INHERITED = "inherited"


class RetryDecision(NamedTuple):
    """How one retry was charged, and the state of the budget before.

    Parameters
    ==========

    charge : RetryCharge
        How it was charged.
    age : float
        Seconds since the gate's process started to count.
    gates : int
        Number of gates by which the gate divides the fixed allowance.
    spent : int
        Retries charged in the window.
    allowed : float
        Retries allowed in the window.

    Examples
    ========

    >>> RetryDecision(RetryCharge.DENIED, 3.5, 30, 12, 11.25).as_log_field()
    {'charge': 'denied', 'age_s': 3.5, 'gates': 30, 'spent': 12, 'allowed': 11.2}
    """

    charge: RetryCharge
    age: float
    gates: int
    spent: int
    allowed: float

    def as_log_field(self) -> dict[str, object]:
        """Return the field of a log line."""
        return {
            "charge": str(self.charge),
            "age_s": round(self.age, 2),
            "gates": self.gates,
            "spent": self.spent,
            "allowed": round(self.allowed, 1),
        }
