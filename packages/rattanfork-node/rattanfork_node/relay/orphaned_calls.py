"""Route path: calls of runs that this process does not know, or no longer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanfork_core.clock import Clock

if TYPE_CHECKING:
    from rattanfork_node.config.holder import ConfigurationHolder
    from rattanfork_node.relay.job import Job


#: Seconds after a start for which runs of an earlier process may go on.  Time-outs in
#: force when they were sent may have been longer than those of the configuration now.
_MAX_PREDECESSOR_RUN_S = 60.0


class OrphanedCalls:
    """Recognizes requests that may be calls of a run which the gate has lost.

    Explanation
    ===========

    An upstream may go on with a run after its connection was closed, and after its node
    was started again.  The calls of such a run carry no key of a client account, like
    any call, but the gate does not know their parent.  Refusing them as
    unauthenticated would tell the upstream that trying again is of no use.

    They are not served either: the form of an ID proves nothing.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    configuration : ConfigurationHolder
        The configuration in force, whose time-outs bound how long a run lasts.
    """

    def __init__(self, clock: Clock, configuration: ConfigurationHolder) -> None:
        self._clock = clock
        self._configuration = configuration
        self._started_at = clock.now()
        #: Deadlines of the lost runs, by request ID.
        self._deadlines: dict[bytes, float] = {}

    def on_run_lost(self, job: Job) -> None:
        """Record a run that may go on although the gate has ended it."""
        self._deadlines[job.request_id] = job.deadline

    def sweep(self) -> None:
        """Forget the runs whose deadlines have passed; call once a second."""
        now = self._clock.now()
        for request_id in [i for i, end in self._deadlines.items() if end < now]:
            del self._deadlines[request_id]

    def describe(self, request_id: bytes) -> dict[str, object]:
        """Return what a request without a key is taken by for a call, for the log."""
        parent, dot, _ = request_id.rpartition(b".")
        configuration = self._configuration.current
        return {
            "has_parent_id": bool(dot),
            "is_parent_lost": parent in self._deadlines,
            "lost_runs": len(self._deadlines),
            "process_age_s": round(self._clock.now() - self._started_at, 2),
            "longest_timeout_s": configuration and configuration.longest_timeout,
        }

    def may_include(self, request_id: bytes) -> bool:
        """Return whether a request with this ID may be a call of a lost run."""
        parent, dot, _ = request_id.rpartition(b".")
        if not dot:
            return False
        return parent in self._deadlines or self._may_have_predecessor_runs()

    def _may_have_predecessor_runs(self) -> bool:
        """Return whether runs sent before this process started may still go on."""
        configuration = self._configuration.current
        if configuration is None:
            return True
        age = self._clock.now() - self._started_at
        return age <= max(configuration.longest_timeout, _MAX_PREDECESSOR_RUN_S)
