"""Records of nodes as they stand in the store."""

from collections.abc import Iterable, Mapping

import orjson
from rattanfork_core.membership import Member, MemberStatus
from rattanfork_platform import Row

#: Table of all that nodes keep for those that start.
TABLE = "members"
#: Begins the keys of rows that hold what instances know of the quarantine.  They stand
#: beside the members' records so that the one read at a start brings both.
QUARANTINE_PREFIX = "quarantine:"


def record_key(instance: str) -> str:
    """Return the key of the row that holds the record of an instance."""
    return f"{TABLE}/{instance}"


def quarantine_key(instance: str) -> str:
    """Return the key of the row in which an instance keeps its quarantine."""
    return f"{TABLE}/{QUARANTINE_PREFIX}{instance}"


def decode_record(value: bytes) -> Member:
    """Return the member whose record a row holds.

    Raises
    ======

    ValueError
        If the row holds none.
    """
    return Member.from_fields(orjson.loads(value))


def lost_records(
    rows: Mapping[str, Row | None], present: Iterable[Member]
) -> list[Member]:
    """Return the members whose records the store does not have.

    Parameters
    ==========

    rows : mapping
        Rows of the table by the names of instances.
    present : iterable of Member
        The members as this node sees them.
    """
    return [
        member
        for member in present
        if member.status == MemberStatus.ALIVE
        and _boot(rows.get(member.instance)) < member.boot
    ]


def _boot(row: Row | None) -> str:
    """Return the boot in a row; boots sort by time, and "" before all."""
    if row is None:
        return ""
    try:
        return decode_record(row.value).boot
    except ValueError:
        # Written by somebody else; the member's own record takes its place.
        return ""
