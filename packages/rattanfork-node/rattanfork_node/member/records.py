"""Rows in which nodes persist their records and the quarantine."""

from collections.abc import Iterable, Mapping

import orjson
from rattanfork_core.hashing import hash64
from rattanfork_core.membership import Member, MemberStatus
from rattanfork_core.retirement import Retirement
from rattanfork_platform import Row

#: Table of the rows that nodes read at start-up.
MEMBERS_TABLE = "members"
#: Key prefix of quarantine rows.  They share the table with member records so that
#: one scan at start-up returns both.
QUARANTINE_PREFIX = "quarantine:"

#: Key prefix of the rows of retirements, which share the table for the same reason.
RETIREMENT_PREFIX = "retired:"

#: Key of the row with the services that each operation calls, in the same table.
DEPENDENCIES_ROW = "dependencies"


def dependencies_key() -> str:
    """Return the key of the row of dependencies."""
    return f"{MEMBERS_TABLE}/{DEPENDENCIES_ROW}"


def record_key(instance: str) -> str:
    """Return the key of the member record of an instance."""
    return f"{MEMBERS_TABLE}/{instance}"


def quarantine_key(instance: str) -> str:
    """Return the key of the quarantine row of an instance."""
    return f"{MEMBERS_TABLE}/{QUARANTINE_PREFIX}{instance}"


def retirement_key(retirement: Retirement) -> str:
    """Return the key of the row of a retirement.

    Each has a row of its own, so that a write which the store performs late, after its
    call was given up, can't replace a newer one.
    """
    name = hash64(f"{retirement.upstream}|{retirement.born}")
    return f"{MEMBERS_TABLE}/{RETIREMENT_PREFIX}{retirement.instance}:{name:016x}"


def decode_record(value: bytes) -> Member:
    """Decode a member record.

    Raises
    ======

    ValueError
        If the value is not a member record.
    """
    return Member.from_fields(orjson.loads(value))


def missing_records(
    rows: Mapping[str, Row | None], present: Iterable[Member]
) -> list[Member]:
    """Return the live members whose stored record is absent or outdated.

    Parameters
    ==========

    rows : mapping
        Rows of the table, by instance name.
    present : iterable of Member
        Members in the view of this node.
    """
    return [
        member
        for member in present
        if member.status == MemberStatus.ALIVE
        and _stored_boot(rows.get(member.instance)) < member.boot
    ]


def _stored_boot(row: Row | None) -> str:
    """Return the boot of a stored record; boots sort by time, "" before all."""
    if row is None:
        return ""
    try:
        return decode_record(row.value).boot
    except ValueError:
        # Malformed row of another writer; the member's record replaces it.
        return ""
