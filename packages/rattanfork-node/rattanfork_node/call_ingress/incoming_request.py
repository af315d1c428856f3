"""Call path: a parsed request, before rules are applied."""

from dataclasses import dataclass

from rattanfork_core.request import Importance

_IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))


@dataclass(slots=True, eq=False)
class IncomingRequest:
    """A request of a caller, or a child call of an upstream, without HTTP details.

    Parameters
    ==========

    service, operation : str
        Called service and operation; the first two segments of the path.
    path : str
        Path and query sent to the upstream.
    timeout : float or None
        Seconds in which the caller needs the response.
    attempt : int
        Number of the caller's attempt, starting at 1.
    key : str
        Idempotency key, or "".
    context : str
        Token of the run that this child call belongs to, or "" for a caller's
        request.
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
        """Whether the method is idempotent."""
        return self.method in _IDEMPOTENT_METHODS
