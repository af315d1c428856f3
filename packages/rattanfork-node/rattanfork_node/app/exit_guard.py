"""Ends the process before the platform kills it, whatever it still waits for."""

import faulthandler
import sys

#: Seconds before the end of the grace period by which the steps of a shutdown end.
EXIT_MARGIN_S = 0.5
#: Seconds before the end of the grace period at which the guard acts.  An event loop
#: that stood still has the time between for the responses that wait.
_GUARD_MARGIN_S = 0.2
#: The same as a share of a short grace period.
_GUARD_MARGIN_SHARE = 1 / 15


class ExitGuard:
    """Ends the process with status 1 if it has not exited in time.

    Explanation
    ===========

    The steps of a shutdown have bounds of their own, but they depend on an event loop
    that runs: a task that ignores its cancellation, a blocking call or a starved
    process delays them all.  The guard is a thread that needs neither the event loop
    nor the interpreter's lock.  It writes the stack of each thread to standard error,
    which shows what the process waited for, and ends the process.

    Parameters
    ==========

    grace : float
        Seconds between SIGTERM and SIGKILL.
    """

    def __init__(self, grace: float) -> None:
        self._grace = grace
        self._armed = False

    @property
    def armed(self) -> bool:
        """Whether the process ends after the grace period."""
        return self._armed

    def arm(self) -> None:
        """Start the time; later calls don't extend it."""
        if self._armed:
            return
        self._armed = True
        margin = min(_GUARD_MARGIN_S, _GUARD_MARGIN_SHARE * self._grace)
        seconds = self._grace - margin
        faulthandler.dump_traceback_later(seconds, exit=True, file=sys.stderr)
