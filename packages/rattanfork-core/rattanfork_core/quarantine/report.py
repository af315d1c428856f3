"""What nodes tell each other of upstreams that have crashed."""

from typing import NamedTuple

from rattanfork_core.hashing import hash64

#: Largest number that travels.
_LARGEST = 1 << 64


class CrashReport(NamedTuple):
    """Requests that may have ended one incarnation of an upstream.

    Parameters
    ==========

    incarnation : int
        Hash of the incarnation, see :func:`incarnation_hash`.
    age : int
        Milliseconds since it ended.
    fingerprints : tuple of int
        Requests that were under way; several reports of one incarnation add up.
    """

    incarnation: int
    age: int
    fingerprints: tuple[int, ...]

    @classmethod
    def from_fields(cls, fields: object) -> "CrashReport":
        """Return the report of a decoded datagram or row.

        Raises
        ======

        ValueError
            If the fields are not those of a report.

        Examples
        ========

        >>> CrashReport.from_fields((7, 250, (1, 2)))
        CrashReport(incarnation=7, age=250, fingerprints=(1, 2))
        >>> CrashReport.from_fields((7, -1, (1, 2)))
        Traceback (most recent call last):
        ...
        ValueError: report of a crash: whole numbers expected
        """
        if not isinstance(fields, list | tuple) or len(fields) != len(cls._fields):
            raise ValueError("not a report of a crash")
        incarnation, age, fingerprints = fields
        if not isinstance(fingerprints, list | tuple):
            raise ValueError("report of a crash: list of fingerprints expected")
        for number in (incarnation, age, *fingerprints):
            if type(number) is not int or not 0 <= number < _LARGEST:
                raise ValueError("report of a crash: whole numbers expected")
        return cls(incarnation, age, tuple(fingerprints))


class SuccessReport(NamedTuple):
    """Suspects that an upstream has run with success.

    Parameters
    ==========

    age : int
        Milliseconds since then.
    fingerprints : tuple of int
        The requests.
    """

    age: int
    fingerprints: tuple[int, ...]

    @classmethod
    def from_fields(cls, fields: object) -> "SuccessReport":
        """Return the report of a decoded datagram.

        Raises
        ======

        ValueError
            If the fields are not those of a report.
        """
        if not isinstance(fields, list | tuple) or len(fields) != len(cls._fields):
            raise ValueError("not a report of a success")
        # Checked as the same fields of a crash are.
        _, age, fingerprints = CrashReport.from_fields((0, *fields))
        return cls(age, fingerprints)


def incarnation_hash(name: str, started: int) -> int:
    """Return the hash that stands for one incarnation of an upstream.

    Parameters
    ==========

    name : str
        ID of the upstream; a new start may keep it.
    started : int
        When it started, as it says; 0 if it does not.
    """
    return hash64(f"{name}/{started}")
