"""An HTTP request received by a node and its response."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.fair_shares import FairRank

from rattanfork_node.http1.fingerprints import fingerprint_of
from rattanfork_node.http1.request_body import HeldBody

if TYPE_CHECKING:
    from rattanfork_node.http1.upload import Upload


class Exchange:
    """A received request, and its response once there is one.

    It is complete unless it is an upload, whose body is read after its head was
    decided on.

    Parameters
    ==========

    connection : ServerConnection
        Connection that the request came on and the response goes to.
    method : bytes
        Request method.
    target : bytes
        Path and query as sent by the client.
    host : str
        Value of the Host header in lower case, without the port.
    header_block : bytes
        Header lines to forward, each ending in CRLF.
    body : bytes
        Request body.
    request_id : bytes
        Request ID sent by the client; empty without one.
    client_timeout : float or None
        Seconds for which the client waits for the response; None if not stated.
    keep_alive : bool
        Whether the connection stays open after the response.
    keys : tuple of bytes
        Values of the client account key header; more than one is malformed.
    """

    __slots__ = (
        "_large_fingerprint",
        "account",
        "account_delay",
        "answered",
        "body",
        "client_timeout",
        "connection",
        "fair_share",
        "granted_at",
        "header_block",
        "held_bytes",
        "host",
        "keep_alive",
        "keys",
        "large_body",
        "method",
        "on_disconnect",
        "on_give_up",
        "output",
        "request_id",
        "target",
        "upload",
    )

    def __init__(
        self,
        connection: object,
        method: bytes,
        target: bytes,
        host: str,
        header_block: bytes,
        body: bytes,
        request_id: bytes,
        client_timeout: float | None,
        keep_alive: bool,
        keys: tuple[bytes, ...] = (),
    ) -> None:
        self.connection = connection
        self.method = method
        self.target = target
        self.host = host
        self.header_block = header_block
        self.body = body
        self.request_id = request_id
        self.client_timeout = client_timeout
        self.keep_alive = keep_alive
        self.keys = keys
        #: Client account that sent the request; None before authentication and for
        #: anonymous requests.
        self.account: ClientAccount | None = None
        #: Time at which the quota of its account admitted it; None without a quota.
        self.granted_at: float | None = None
        #: Seconds spent waiting for authentication and quota.
        self.account_delay = 0.0
        #: The body while it is read after the head was decided on; None if the request
        #: was received whole before, and after the response.
        self.upload: Upload | None = None
        #: The body if it is held in parts; ``body`` is empty then.
        self.large_body: HeldBody | None = None
        self._large_fingerprint = 0
        #: How its rank was computed while the capacity is shared by account.
        self.fair_share: FairRank | None = None
        #: Bytes that count against the budget for requests.
        self.held_bytes = 0
        self.answered = False
        self.output: tuple[int, bytes, bytes | HeldBody] | None = None
        #: Called once if the client disconnects before the response.
        self.on_disconnect: Callable[[], None] | None = None
        #: Called if the node stops before the response, to end the request; None if
        #: no attempt was made.
        self.on_give_up: Callable[[], None] | None = None

    @property
    def path(self) -> str:
        """Path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def is_body_pending(self) -> bool:
        """Whether the body has not been received, as of an upload at its head."""
        return self.upload is not None and not self.upload.is_complete

    @property
    def account_name(self) -> str:
        """Name of the client account that sent the request; "" without one."""
        return self.account.name if self.account is not None else ""

    @property
    def fingerprint(self) -> int:
        """Fingerprint of the request, the same for all attempts at it."""
        if self.large_body is not None:
            return self._large_fingerprint
        return fingerprint_of(
            self.method, self.target, self.header_block, self.body, self.account_name
        )

    def hold_large_body(self, body: HeldBody) -> None:
        """Set a body that is held in parts."""
        self.large_body = body
        self._large_fingerprint = fingerprint_of(
            self.method, self.target, self.header_block, body.parts, self.account_name
        )

    def respond(
        self, status: int, block: bytes = b"", body: bytes | HeldBody = b""
    ) -> None:
        """Set the final response; later calls have no effect.

        Parameters
        ==========

        status : int
            HTTP status code.
        block : bytes
            Header lines, each ending in CRLF, without hop-by-hop headers and
            Content-Length.
        body : bytes or HeldBody
            Response body.
        """
        if self.answered:
            return
        self.answered = True
        self.on_disconnect = self.on_give_up = None
        if self.upload is not None:
            # Breaks the reference cycle, which would keep the body in memory until
            # the next garbage collection.
            upload, self.upload = self.upload, None
            upload.on_answered()
        self.output = (status, block, body)
        self.connection.flush_responses()
