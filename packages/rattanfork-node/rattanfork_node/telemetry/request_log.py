"""Lines about single requests."""

from collections.abc import Callable
from typing import Any

from rattanfork_core.trace import LogSampler

from rattanfork_node.telemetry.writer import LineWriter


class RequestLog:
    """Writes one line for each decision on a request, within a budget.

    Explanation
    ===========

    These lines are encoded directly: the library for changes of state took
    three times as long for each (21 us against 6.3 us, 20,000 lines of the same
    fields, one machine).

    Parameters
    ==========

    writer : LineWriter
        Where lines go.
    budget : LogSampler
        Bounds them.
    instance : str
        Named on each line, since logs of many nodes are read together.
    wall : callable
        Returns the time of day in seconds: lines of nodes are put in order by
        it, and nothing is decided by it.
    """

    def __init__(
        self,
        writer: LineWriter,
        budget: LogSampler,
        instance: str,
        wall: Callable[[], float],
    ) -> None:
        self._writer = writer
        self._budget = budget
        self._instance = instance
        self._wall = wall

    def wants(self, request_id: bytes, plain: bool) -> bool:
        """Return whether a line is to be written now.

        Asked first, so that fields are gathered only for lines that are.
        """
        return self._budget.should_write(request_id, plain)

    def write(self, kind: str, request_id: bytes, fields: dict[str, Any]) -> None:
        """Write a line that was wanted."""
        fields["timestamp"] = self._wall()
        fields["message_type"] = f"rattanfork:{kind}"
        fields["instance"] = self._instance
        fields["id"] = request_id.decode("latin-1")
        self._writer.write(fields)

    def left_out(self) -> dict[str, int]:
        """Return the lines left out since the last call, by kind."""
        left_out = self._budget.take_omitted()
        if self._writer.dropped:
            left_out["unread"] = self._writer.dropped
        return left_out

    def flush(self) -> None:
        """Write what waits; call some times a second."""
        self._writer.flush()
