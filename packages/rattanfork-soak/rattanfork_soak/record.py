"""A client's observation of one request."""

from dataclasses import dataclass


@dataclass(slots=True)
class Record:
    """One request as its client observed it.

    Parameters
    ==========

    request_id : str
        Unique in the soak.
    node : str
        Name of the node that it was sent to.
    pid : int
        Process ID of that node at the time of sending.
    text : str
        Method, path and body, separated by spaces, as the worker must receive them.
    idempotent : bool
        Whether it may run more than once.
    sent : float
        Seconds from the start of the soak.
    ended : float or None
        When the response was complete or the connection failed.
    status : int
        Status of the response; 0 if there was none.
    body : str
        Body of the response.
    stamp : str
        Header set by the worker, its ID and status; "" if the header is missing.
    key : str
        Client key in the request.
    error : str
        Type of the exception, if there was no response.
    interrupted_at : float
        When the node was last killed, paused or resumed before the request was sent.
    advertised : bool
        Whether the response carried what its worker advertises.
    stable : bool
        Whether the node had run without start, stop, pause or fault for a while, so
        that its view of the fleet must be up to date.
    """

    request_id: str
    node: str
    pid: int
    text: str
    idempotent: bool
    sent: float
    ended: float | None = None
    status: int = 0
    body: str = ""
    stamp: str = ""
    error: str = ""
    stable: bool = True
    key: str = ""
    interrupted_at: float = float("-inf")
    advertised: bool = False

    @property
    def served(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300
