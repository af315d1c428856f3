"""Reports of crashes and successes that nodes send each other."""

from typing import NamedTuple

from rattanfork_core.hashing import hash64

#: Exclusive upper bound of integers; those of msgpack have at most 64 bits.
_INTEGER_LIMIT = 1 << 64


class CrashReport(NamedTuple):
    """Requests that may have crashed one incarnation of an upstream.

    An incarnation is one run of the upstream process, whose node may keep running.

    Parameters
    ==========

    incarnation : int
        Hash of the incarnation, see :func:`incarnation_hash`.
    age : int
        Milliseconds since the crash.
    fingerprints : tuple of int
        Requests that were in flight.  Several reports of one incarnation are
        combined.
    """

    incarnation: int
    age: int
    fingerprints: tuple[int, ...]

    @classmethod
    def from_fields(cls, fields: object) -> "CrashReport":
        """Return the report in a decoded datagram or row.

        Raises
        ======

        ValueError
            If the number, a type or a range of the fields is wrong.

        Examples
        ========

        >>> CrashReport.from_fields((7, 250, (1, 2)))
        CrashReport(incarnation=7, age=250, fingerprints=(1, 2))
        >>> CrashReport.from_fields((7, -1, (1, 2)))
        Traceback (most recent call last):
        ...
        ValueError: crash report: integers from 0 to 2**64 - 1 expected
        """
        if not isinstance(fields, list | tuple) or len(fields) != len(cls._fields):
            raise ValueError("crash report: three fields expected")
        incarnation, age, fingerprints = fields
        _check_numbers("crash report", fingerprints, incarnation, age)
        return cls(incarnation, age, tuple(fingerprints))


class SuccessReport(NamedTuple):
    """Suspects that an upstream completed without crashing.

    Parameters
    ==========

    age : int
        Milliseconds since the success.
    fingerprints : tuple of int
        The requests.
    """

    age: int
    fingerprints: tuple[int, ...]

    @classmethod
    def from_fields(cls, fields: object) -> "SuccessReport":
        """Return the report in a decoded datagram.

        Raises
        ======

        ValueError
            If the number, a type or a range of the fields is wrong.
        """
        if not isinstance(fields, list | tuple) or len(fields) != len(cls._fields):
            raise ValueError("success report: two fields expected")
        age, fingerprints = fields
        _check_numbers("success report", fingerprints, age)
        return cls(age, tuple(fingerprints))


def _check_numbers(kind: str, fingerprints: object, *others: object) -> None:
    if not isinstance(fingerprints, list | tuple):
        raise ValueError(f"{kind}: list of fingerprints expected")
    for number in (*others, *fingerprints):
        if type(number) is not int or not 0 <= number < _INTEGER_LIMIT:
            raise ValueError(f"{kind}: integers from 0 to 2**64 - 1 expected")


def incarnation_hash(name: str, started: int) -> int:
    """Return the hash that identifies one incarnation of an upstream.

    Parameters
    ==========

    name : str
        ID of the upstream; it may be the same after a restart.
    started : int
        Start time that the upstream announced; 0 if it did not.
    """
    return hash64(f"{name}/{started}")
