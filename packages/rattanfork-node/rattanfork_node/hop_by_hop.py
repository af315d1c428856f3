"""HTTP headers that concern one connection only, and are not passed on."""

HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
