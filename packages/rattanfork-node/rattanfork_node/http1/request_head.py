"""The head of a request while it is received."""

from rattanfork_core.parsing import parse_whole_number
from rattanfork_core.uploads import is_large_body

from rattanfork_node.http1.headers import HeaderNames

#: Longest timeout of a client in milliseconds; a longer one is ignored.
_MAX_TIMEOUT_MS = 86_400_000


class HeaderFilter:
    """The headers that a server reads or strips, in lower case.

    Parameters
    ==========

    names : HeaderNames
        Names of the headers.
    """

    __slots__ = ("deadline", "key", "request_id", "stripped")

    def __init__(self, names: HeaderNames) -> None:
        self.request_id = names.request_id.lower()
        self.deadline = names.deadline.lower()
        self.key = names.key.lower()
        self.stripped = names.stripped_from_requests()


class RequestHead:
    """Collects the target and headers of one request.

    Parameters
    ==========

    headers : HeaderFilter
        The headers that the server reads or strips.
    """

    __slots__ = (
        "_filter",
        "block",
        "client_timeout",
        "declared_length",
        "expects_continue",
        "framing",
        "has_large_body",
        "hosts",
        "keys",
        "request_id",
        "size",
        "target",
    )

    def __init__(self, headers: HeaderFilter) -> None:
        self._filter = headers
        self.target = b""
        #: Header lines to forward.
        self.block = bytearray()
        #: Header lines that declare the body.
        self.framing = bytearray()
        self.hosts: list[bytes] = []
        self.keys: list[bytes] = []
        self.request_id = b""
        #: Seconds for which the client waits; None if not stated.
        self.client_timeout: float | None = None
        #: Bytes of names and values of all headers.
        self.size = 0
        self.expects_continue = False
        self.has_large_body = False
        #: Content-Length of a large body; None if it is chunked.
        self.declared_length: int | None = None

    @property
    def is_unambiguous(self) -> bool:
        """Whether all nodes choose the same route: a path, and one Host header."""
        return len(self.hosts) == 1 and self.target.startswith(b"/")

    @property
    def host(self) -> str:
        """The value of the Host header in lower case, without the port."""
        return _strip_port(self.hosts[0])

    def add(self, name: bytes, value: bytes) -> None:
        """Process a header."""
        lower = name.lower()
        self.size += len(name) + len(value)
        headers = self._filter
        if lower == headers.request_id:
            self.request_id = value
        elif lower == headers.deadline:
            self.client_timeout = _parse_timeout(value)
        elif lower == headers.key:
            self.keys.append(value)
        elif lower == b"host":
            self.hosts.append(value)
        elif lower == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True
        if lower not in headers.stripped:
            self.block += name + b": " + value + b"\r\n"
        elif lower == b"content-length":
            self.framing += name + b": " + value + b"\r\n"
            if is_large_body(value):
                self.has_large_body = True
                self.declared_length = int(value)
        elif lower == b"transfer-encoding":
            self.framing += name + b": " + value + b"\r\n"
            self.has_large_body = True
            self.declared_length = None


def _parse_timeout(milliseconds: bytes) -> float | None:
    """Return a client's timeout in seconds; None if it is malformed.

    A negative one means that the client no longer waits.
    """
    is_negative = milliseconds.startswith(b"-")
    try:
        number = parse_whole_number(milliseconds.removeprefix(b"-"), 0, _MAX_TIMEOUT_MS)
    except ValueError:
        return None
    return 0.0 if is_negative else number / 1000


def _strip_port(host: bytes) -> str:
    if b":" in host and not host.endswith(b"]"):
        host = host.rpartition(b":")[0]
    return host.decode("latin-1").lower()
