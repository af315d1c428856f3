"""A request as it enters the system."""

from dataclasses import dataclass

from rattanfork_core.request import Importance

_IDEMPOTENT = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))


@dataclass(slots=True, eq=False)
class IncomingRequest:
    """A request as it enters the system.

    Parameters
    ==========

    service, operation : str
        What is called; the first two parts of the path.
    path : str
        The path and query that the upstream gets.
    timeout : float or None
        Seconds in which the caller needs the answer.
    attempt : int
        Number of the caller's attempt, from 1.
    key : str
        Idempotency key, or "".
    context : str
        The run that this call belongs to, or "" for a caller's request.
    """

    service: str
    operation: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str
    caller: str
    importance: Importance | None = None
    timeout: float | None = None
    attempt: int = 1
    key: str = ""
    context: str = ""

    @property
    def idempotent(self) -> bool:
        """Whether the method says that running twice does no harm."""
        return self.method in _IDEMPOTENT
