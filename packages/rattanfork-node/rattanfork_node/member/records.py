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


def decode_row(key: str, value: bytes) -> Member:
    """Return the member that a row of the table names.

    The row says where the member may be found.  Its state is known from gossip only:
    no member has the incarnation 0, so that whatever it says overrides the row.

    Raises
    ======

    ValueError
        If the value is not a member record, or not that of the row's key.
    """
    member = Member.from_fields(orjson.loads(value))
    if member.instance != key:
        raise ValueError(f"member record: instance {member.instance!r} is not the key")
    return member.replace(incarnation=0, status=MemberStatus.ALIVE)


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
        and _stored_boot(member.instance, rows.get(member.instance)) < member.boot
    ]


def _stored_boot(key: str, row: Row | None) -> str:
    """Return the boot of a stored record; boots sort by time, "" before all."""
    if row is None:
        return ""
    try:
        return decode_row(key, row.value).boot
    except ValueError:
        # Malformed row of another writer; the member's record replaces it.
        return ""
