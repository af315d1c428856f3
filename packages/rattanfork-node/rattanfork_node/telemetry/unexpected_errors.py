"""Exceptions that no code expects, at the borders where they are caught."""

import traceback
from collections import Counter
from pathlib import Path

from rattanfork_node.telemetry.log import log_change

#: Frames of the stack that a line shows, the innermost ones.
_MAX_FRAMES = 4


class UnexpectedErrors:
    """Counts each such exception, and logs the 1st, 10th, 100th with its place.

    Explanation
    ===========

    An exception that leaves a callback of the event loop ends the connection that it
    was called for, with all that others wait for on it, and nothing tells why.

    Parameters
    ==========

    events : Counter
        Event counters.
    """

    def __init__(self, events: Counter[str]) -> None:
        self._events = events

    def report(self, where: str, error: Exception) -> None:
        """Record an exception.

        Parameters
        ==========

        where : str
            The border at which it was caught.
        error : Exception
            The exception.
        """
        self._events[f"unexpected.{where}"] += 1
        times = self._events[f"unexpected.{where}"]
        if str(times).strip("0") != "1":
            return
        frames = traceback.extract_tb(error.__traceback__)[-_MAX_FRAMES:]
        log_change(
            "unexpected_error",
            where=where,
            error=repr(error),
            at=[f"{Path(f.filename).name}:{f.lineno} {f.name}" for f in frames],
            times=times,
        )
