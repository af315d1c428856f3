"""Result of a failed check."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """Observed violation of one of the product's invariants.

    Parameters
    ==========

    invariant : str
        Short name of the invariant, as listed in :mod:`rattanfork_soak.checks`.
    at : float
        Seconds from the start of the soak.
    text : str
        What was observed, naming the nodes, requests or versions concerned.
    """

    invariant: str
    at: float
    text: str

    def __str__(self) -> str:
        return f"{self.at:7.2f} s  {self.invariant}: {self.text}"
