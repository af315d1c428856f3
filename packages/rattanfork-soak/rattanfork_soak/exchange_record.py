"""What a client and a worker saw of one request, with the times of both."""

from dataclasses import dataclass, field

#: Seconds between SIGTERM and SIGKILL, the default of the nodes' settings.
GRACE_S = 6.0


@dataclass(slots=True)
class ExchangeRecord:
    """One request on a connection, as its client saw it.

    Parameters
    ==========

    request_id : str
        Unique in the run.
    node : str
        Name of the node that it was sent to.
    kind : str
        Kind of the client, for the counts.
    idempotent : bool
        Whether it may run more than once.
    size : int
        Bytes of the body of its response.
    limit : float
        Seconds until the client's deadline or the route's timeout, whichever is first.
    began : float
        When its first byte was sent, in seconds of the run.
    behind : bool
        Whether an earlier request on the connection had no complete response then.
    sent : float or None
        When its last byte was sent; None if the connection ended before.
    ended : float or None
        When the response was complete, or the connection ended without it.
    status : int
        Status of the complete response; 0 without one.
    stamped : bool
        Whether the response bears the header of the worker that made it.
    whole : bool
        Whether the response is the one that the worker made, byte for byte.
    received : int
        Bytes of the response that arrived, if it is not complete.
    error : str
        How the connection ended without a complete response.
    left : bool
        Whether the client itself ended the connection.
    """

    request_id: str
    node: str
    kind: str
    idempotent: bool
    size: int
    limit: float
    began: float = 0.0
    behind: bool = False
    sent: float | None = None
    ended: float | None = None
    status: int = 0
    stamped: bool = False
    whole: bool = True
    received: int = 0
    error: str = ""
    left: bool = False


@dataclass(slots=True)
class WorkerRun:
    """One run of a request at a worker.

    Parameters
    ==========

    worker : str
        ID of the incarnation.
    began : float
        When the worker began, in seconds of the run.
    ended : float or None
        When it had sent its response; None if its connection was closed before.
    broke_off : bool
        Whether the worker itself ended the connection before its response.
    """

    worker: str
    began: float
    ended: float | None = None
    broke_off: bool = False


@dataclass(slots=True)
class PlannedWork:
    """When one node was told to stop or to reload, in seconds of the run."""

    #: Seconds between SIGTERM and SIGKILL.
    grace: float = GRACE_S
    stops: list[float] = field(default_factory=list)
    reloads: list[float] = field(default_factory=list)
    #: Stops of a process that had been suspended right before.
    stalled_stops: list[float] = field(default_factory=list)
