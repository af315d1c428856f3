"""One request of a client and the place for its answer."""

from collections.abc import Callable

from rattanfork_core.client_accounts import ClientAccount

from rattanfork_node.http1.fingerprints import fingerprint_of


class Exchange:
    """One request that was read whole, and the place for its answer.

    Parameters
    ==========

    connection : ServerConnection
        Where the answer goes.
    method : bytes
        Method.
    target : bytes
        Path and query, as the client sent them.
    host : str
        Host without its port, in lower case.
    block : bytes
        The headers to forward, each ending in CRLF.
    body : bytes
        The whole body.
    request_id : bytes
        ID that the client gave, or nothing.
    wait : float or None
        Seconds for which the client waits; None if it did not say.
    keep_alive : bool
        Whether the client wants to keep the connection.
    keys : tuple of bytes
        Keys of a client account that it carries: one, or it is malformed.
    """

    __slots__ = (
        "account",
        "answered",
        "header_block",
        "body",
        "connection",
        "granted_at",
        "host",
        "keep_alive",
        "keys",
        "method",
        "on_disconnect",
        "output",
        "request_id",
        "target",
        "client_timeout",
        "quota_delay",
    )

    def __init__(
        self,
        connection: "object",
        method: bytes,
        target: bytes,
        host: str,
        block: bytes,
        body: bytes,
        request_id: bytes,
        wait: float | None,
        keep_alive: bool,
        keys: tuple[bytes, ...] = (),
    ) -> None:
        self.connection = connection
        self.method = method
        self.target = target
        self.host = host
        self.header_block = block
        self.body = body
        self.request_id = request_id
        self.client_timeout = wait
        self.keep_alive = keep_alive
        self.keys = keys
        #: The client account that sends it; None until it is told, or without one.
        self.account: ClientAccount | None = None
        #: When a quota let it in; None if none did.
        self.granted_at: float | None = None
        #: Seconds that it has waited before it was let in.
        self.quota_delay = 0.0
        self.answered = False
        self.output: tuple[int, bytes, bytes] | None = None
        #: Called once if the client leaves before it has its answer.
        self.on_disconnect: Callable[[], None] | None = None

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def account_name(self) -> str:
        """Name of the client account that sends it; "" without one."""
        return self.account.name if self.account is not None else ""

    @property
    def fingerprint(self) -> int:
        """What the request asks for, the same for all attempts at it."""
        return fingerprint_of(
            self.method, self.target, self.header_block, self.body, self.account_name
        )

    def respond(self, status: int, block: bytes = b"", body: bytes = b"") -> None:
        """Give the final answer; later calls do nothing.

        Parameters
        ==========

        status : int
            Status code.
        block : bytes
            Header lines, each ending in CRLF, without those that concern the
            connection.
        body : bytes
            The whole body.
        """
        if self.answered:
            return
        self.answered = True
        self.on_disconnect = None
        self.output = (status, block, body)
        self.connection.flush_responses()
