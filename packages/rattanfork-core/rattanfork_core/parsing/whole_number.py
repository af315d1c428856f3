"""Parser of whole numbers with bounds."""

#: Characters of a rejected text that an error shows.
_MAX_SHOWN = 40


def parse_whole_number(text: str | bytes, minimum: int, maximum: int) -> int:
    """Return the whole number that a text consists of.

    Explanation
    ===========

    ``int`` also accepts signs, underscores, surrounding spaces and digits of other
    scripts, and rejects texts of thousands of digits; ``isdigit`` accepts superscript
    digits, which ``int`` rejects.

    Parameters
    ==========

    text : str or bytes
        ASCII digits; leading zeros are accepted.
    minimum, maximum : int
        Bounds of the number, both included; at least 0.

    Raises
    ======

    ValueError
        If the text is anything else or the number is out of bounds.

    Examples
    ========

    >>> parse_whole_number("0020", 1, 100)
    20
    >>> parse_whole_number("0000000019999999999", 1, 600000)
    Traceback (most recent call last):
    ...
    ValueError: expected a whole number from 1 to 600000, got '0000000019999999999'
    """
    digits = text.decode("latin-1") if isinstance(text, bytes) else text
    if digits.isascii() and digits.isdigit():
        significant = digits.lstrip("0") or "0"
        if len(significant) <= len(str(maximum)):
            number = int(significant)
            if minimum <= number <= maximum:
                return number
    raise ValueError(
        f"expected a whole number from {minimum} to {maximum}, "
        f"got {digits[:_MAX_SHOWN]!r}"
    )
