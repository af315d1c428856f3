"""What a client saw of one request."""

from dataclasses import dataclass


@dataclass(slots=True)
class Record:
    """What a client saw of one request.

    Parameters
    ==========

    request_id : str
        Unique in the soak.
    node : str
        Where it was sent.
    pid : int
        Process that the node was when it was sent.
    text : str
        Method, path and body, as the worker must see them.
    idempotent : bool
        Whether it may run more than once.
    sent : float
        Seconds from the start of the soak.
    ended : float or None
        When the client had its answer or lost its connection.
    status : int
        Status of the answer; 0 if there was none.
    body : str
        Body of the answer.
    stamp : str
        The worker's signature; "" without.
    key : str
        Key that it carried.
    error : str
        What became of the connection, if there was no answer.
    in_touch : bool
        Whether the node's process had run undisturbed for the contact time.
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
    in_touch: bool = True
    key: str = ""

    @property
    def served(self) -> bool:
        """Whether the client got a success."""
        return 200 <= self.status < 300
