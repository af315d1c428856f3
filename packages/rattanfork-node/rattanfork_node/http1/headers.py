"""Names of the HTTP headers that a node reads, sets or strips."""

from dataclasses import dataclass

#: Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1), and
#: Content-Length and Expect, which a node generates or handles itself.
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
    """Names of the headers that carry request metadata.

    Explanation
    ===========

    The names differ between deployments, so other modules take them from here; the
    composition root of the deployment chooses them.

    Parameters
    ==========

    request_id : bytes
        ID of one attempt of a caller; upstreams echo it.
    deadline : bytes
        Milliseconds for which the sender waits for the response.
    key : bytes
        Key of the client account that sends the request; not forwarded.
    account : bytes
        Name of that account; set on requests to upstreams.
    caller : bytes
        Service of the instance at whose node the request entered the system.
    expected_upstream : bytes
        ID of the only upstream incarnation that may execute the request.
    not_run : bytes
        Set by an upstream in its response if it did not execute the request.
    upstream : bytes
        ID of the upstream, in its response to a probe.
    rate_limit : bytes
        Requests per second that an upstream accepts from all nodes together, in its
        responses while it advertises a limit.
    leaving : bytes
        Set to 1 by an upstream in its responses once it leaves.
    stamp : bytes
        Set by an upstream in each successful response; empty if upstreams set none.
    """

    request_id: bytes = b"Rattanfork-Request-Id"
    deadline: bytes = b"Rattanfork-Timeout-Ms"
    key: bytes = b"Rattanfork-Key"
    account: bytes = b"Rattanfork-Account"
    caller: bytes = b"Rattanfork-Caller"
    expected_upstream: bytes = b"Rattanfork-Expect-Upstream"
    not_run: bytes = b"Rattanfork-Not-Run"
    upstream: bytes = b"Rattanfork-Upstream"
    rate_limit: bytes = b"Rattanfork-Rate-Limit"
    leaving: bytes = b"Rattanfork-Leaving"
    stamp: bytes = b""

    def stripped_from_requests(self) -> frozenset[bytes]:
        """Return the lower-case names of request headers that are not forwarded."""
        own = (
            self.deadline,
            self.key,
            self.account,
            self.caller,
            self.expected_upstream,
        )
        return NOT_FORWARDED | {name.lower() for name in own}
