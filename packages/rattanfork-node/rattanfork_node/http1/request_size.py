"""Sizes of a request while it is received."""

#: Bytes of trailers and of the framing of chunks that a request may have for each byte
#: of its body, besides twice the maximum size of a head.
_MAX_FRAMING_FACTOR = 8


class RequestSize:
    """Counts the bytes of one request.

    Examples
    ========

    >>> size = RequestSize()
    >>> size.received = 100
    >>> size.is_too_large(99, in_head=True), size.is_too_large(99, in_head=False)
    (True, False)
    >>> size.received, size.body = 1000, 100
    >>> size.is_too_large(49, in_head=False)
    True
    """

    __slots__ = ("body", "received")

    def __init__(self) -> None:
        #: Bytes of the body, also of one that is passed on as it is received.
        self.body = 0
        #: Bytes received from the second slice of the request on: an unknown part of
        #: the first one belongs to the previous request.
        self.received = 0

    def is_too_large(self, max_head_bytes: int, in_head: bool) -> bool:
        """Return whether the head, or trailers and framing, exceed their bound."""
        if in_head:
            return self.received > max_head_bytes
        allowed = 2 * max_head_bytes + _MAX_FRAMING_FACTOR * self.body
        return self.received - self.body > allowed
