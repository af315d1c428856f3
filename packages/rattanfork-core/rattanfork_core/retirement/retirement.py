"""The fact that an incarnation of an upstream has stated that it leaves."""

from typing import NamedTuple

#: Maximum characters of an instance's name or an upstream's ID.
_MAX_NAME_CHARACTERS = 200
#: Exclusive upper bound of a start time.
_BORN_LIMIT = 1 << 62


class Retirement(NamedTuple):
    """The fact that an incarnation of an upstream has stated that it leaves.

    It is never revoked: an upstream that comes back has another ID or a later start.

    Parameters
    ==========

    instance : str
        Instance that the upstream belongs to.
    upstream : str
        ID of the upstream.
    born : int
        Its start in Unix milliseconds of its own clock; 0 if unknown.

    Examples
    ========

    >>> Retirement.from_fields(["claims-1", "u1", 1000])
    Retirement(instance='claims-1', upstream='u1', born=1000)
    >>> Retirement.from_fields(["claims-1", "u1"])
    Traceback (most recent call last):
    ...
    ValueError: retirement: instance, upstream and start expected
    """

    instance: str
    upstream: str
    born: int

    @classmethod
    def from_fields(cls, fields: object) -> "Retirement":
        """Return the retirement in a decoded message or row.

        Raises
        ======

        ValueError
            If the number, a type or a range of the fields is wrong.
        """
        if not isinstance(fields, list | tuple) or len(fields) != len(cls._fields):
            raise ValueError("retirement: instance, upstream and start expected")
        instance, upstream, born = fields
        for text in (instance, upstream):
            if not isinstance(text, str):
                raise ValueError(
                    f"retirement: names expected, got {type(text).__name__}"
                )
            if not 0 < len(text) <= _MAX_NAME_CHARACTERS:
                raise ValueError(
                    "retirement: names of 1 to 200 characters expected, got "
                    f"{text[:_MAX_NAME_CHARACTERS]!r}"
                )
        if type(born) is not int or not 0 <= born < _BORN_LIMIT:
            raise ValueError("retirement: start as integer from 0 on expected")
        return cls(instance, upstream, born)
