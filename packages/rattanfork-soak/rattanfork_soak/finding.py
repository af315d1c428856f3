"""A promise that was seen broken."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """A promise that was seen broken.

    Parameters
    ==========

    promise : str
        Short name of the promise.
    at : float
        Seconds from the start of the soak.
    text : str
        What was seen, with the names of those concerned.
    """

    promise: str
    at: float
    text: str

    def __str__(self) -> str:
        return f"{self.at:7.2f} s  {self.promise}: {self.text}"
