"""Names of the headers that the system reads or sets."""

from dataclasses import dataclass

#: Headers that concern one connection only (RFC 9110, section 7.6.1), and
#: those that are written anew for each message.
NOT_FORWARDED = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers that carry what the system needs of a request.

    Explanation
    ===========

    The names differ between deployments, so no module spells one: they are
    chosen where the node is put together.

    Parameters
    ==========

    request_id : bytes
        Identifies one attempt of a caller; echoed by upstreams.
    deadline : bytes
        Milliseconds for which the sender will wait.
    key : bytes
        Key of the client account that sends the request; not forwarded.
    account : bytes
        Name of that account, for upstreams.
    caller : bytes
        Service of the instance where the request entered the system.
    expected_upstream : bytes
        ID of the only upstream incarnation that may run the request.
    not_run : bytes
        In an upstream's answer: it did not run the request.
    upstream : bytes
        In an upstream's answer to a probe: its ID.
    """

    request_id: bytes = b"Rattanfork-Request-Id"
    deadline: bytes = b"Rattanfork-Timeout-Ms"
    key: bytes = b"Rattanfork-Key"
    account: bytes = b"Rattanfork-Account"
    caller: bytes = b"Rattanfork-Caller"
    expected_upstream: bytes = b"Rattanfork-Expect-Upstream"
    not_run: bytes = b"Rattanfork-Not-Run"
    upstream: bytes = b"Rattanfork-Upstream"

    def stripped_from_requests(self) -> frozenset[bytes]:
        """Return lower-case names that are not forwarded as they came."""
        own = (
            self.deadline,
            self.key,
            self.account,
            self.caller,
            self.expected_upstream,
        )
        return NOT_FORWARDED | {name.lower() for name in own}
