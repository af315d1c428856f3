"""Values of the response headers by which an upstream advertises its state."""

import re

#: Digits before and after the decimal point that are accepted.
_MAX_DIGITS = 9
_DECIMAL = re.compile(rb"[0-9]{1,%d}(\.[0-9]{1,%d})?" % (_MAX_DIGITS, _MAX_DIGITS))
#: Characters of a rejected value that an error shows.
_MAX_SHOWN = 64


def parse_rate_limit(value: bytes) -> float:
    """Return an advertised rate limit in requests per second.

    Parameters
    ==========

    value : bytes
        Value of the header.  Several headers of this name are joined with commas and
        are therefore rejected.

    Raises
    ======

    ValueError
        If the value is not a decimal number that is at least 0.

    Examples
    ========

    >>> parse_rate_limit(b"19.3"), parse_rate_limit(b" 0 ")
    (19.3, 0.0)
    >>> parse_rate_limit(b"-1")
    Traceback (most recent call last):
    ...
    ValueError: expected requests per second as a decimal number, got '-1'
    """
    text = value.strip()
    if not _DECIMAL.fullmatch(text):
        raise ValueError(
            f"expected requests per second as a decimal number, got {_shown(value)}"
        )
    return float(text)


def parse_leaving(value: bytes) -> bool:
    """Return whether a response states that its upstream leaves.

    Raises
    ======

    ValueError
        If the value is neither 1 nor 0.

    Examples
    ========

    >>> parse_leaving(b"1"), parse_leaving(b"0")
    (True, False)
    """
    text = value.strip()
    if text not in (b"0", b"1"):
        raise ValueError(f"expected 1 or 0, got {_shown(value)}")
    return text == b"1"


def _shown(value: bytes) -> str:
    return repr(value[:_MAX_SHOWN].decode("latin-1"))
