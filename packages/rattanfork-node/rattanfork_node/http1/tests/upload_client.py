"""A client connection on which tests send uploads, and its handler."""

from collections import Counter

from rattanfork_core.clock import ManualClock
from rattanfork_core.request import Reason
from rattanfork_core.uploads import BodyBudget

from rattanfork_node.http1 import (
    Exchange,
    HeaderNames,
    HttpServer,
    RequestHandler,
    RequestLimits,
    ServerConnection,
    UploadResources,
)
from rattanfork_node.http1.tests.fakes import FakeTransport

BODY = b"x" * 20_000
_STATUSES = {Reason.BODY_TIMEOUT: 408, Reason.BODY_INCOMPLETE: 400}


class UploadHandler(RequestHandler):
    """Takes uploads over from their heads; the test decides on them."""

    def __init__(self) -> None:
        self.heads: list[Exchange] = []
        self.complete: list[Exchange] = []
        self.requests: list[Exchange] = []
        self.refused: list[Reason] = []
        #: ``accept``, ``wait`` or ``refuse`` at the head; ``pass`` to leave it.
        self.decision = "accept"
        self.timeout = 5.0

    def on_request(self, exchange: Exchange) -> None:
        self.requests.append(exchange)

    def on_head(self, exchange: Exchange) -> bool:
        if self.decision == "pass":
            return False
        self.heads.append(exchange)
        exchange.upload.on_refused = lambda reason: self.refuse(exchange, reason)
        if self.decision == "accept":
            self.accept(exchange)
        elif self.decision == "refuse":
            exchange.respond(503)
        return True

    def accept(self, exchange: Exchange) -> None:
        exchange.upload.read(self.timeout, lambda: self.complete.append(exchange))

    def refuse(self, exchange: Exchange, reason: Reason) -> None:
        self.refused.append(reason)
        exchange.respond(_STATUSES.get(reason, 503))


class UploadClient:
    """A client connection to a server that takes uploads."""

    def __init__(self, capacity: int = 1 << 20, server: HttpServer | None = None):
        self.handler = UploadHandler() if server is None else server.handler
        self.clock = ManualClock(100.0)
        self.events: Counter[str] = Counter()
        self.budget = BodyBudget(capacity)
        self.server = server or HttpServer(
            self.clock,
            HeaderNames(),
            RequestLimits(),
            self.handler,
            UploadResources(self.budget, self.events),
        )
        self.transport = FakeTransport()
        self.connection = ServerConnection(self.server)
        self.connection.connection_made(self.transport)

    def send(self, data: bytes) -> None:
        self.connection.data_received(data)

    @property
    def statuses(self) -> list[int]:
        lines = self.transport.written.split(b"\r\n")
        return [int(line.split()[1]) for line in lines if line.startswith(b"HTTP/1.1")]


def head(length: int | None = len(BODY), more: str = "", version: str = "1.1") -> bytes:
    """Return the head of an upload; None as the length makes it chunked."""
    framing = (
        "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    )
    return (
        f"POST /u/ HTTP/{version}\r\nHost: h\r\nRattanfork-Request-Id: u1\r\n"
        f"{framing}\r\n{more}\r\n"
    ).encode()


def chunked(body: bytes, size: int = 7_000) -> bytes:
    parts = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"
