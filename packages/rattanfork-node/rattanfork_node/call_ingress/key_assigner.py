"""Keys of the caller's own making."""

from rattanfork_core.hashing import hash64
from rattanfork_platform import Platform


class KeyAssigner:
    """Binds a caller's own key to a ticket, once, through the table.

    Explanation
    ===========

    A ticket says itself which guard may run it.  A key of the caller's own
    making does not, and views of the members differ, so the table decides:
    the first node that inserts the row wins, and all others read it.  An
    answer lost after the write is settled by the same insert again, which is
    refused, and by reading the row.  While the table is down such keys
    cannot be run, and tickets can.

    Parameters
    ==========

    platform : Platform
        The table.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def assign(self, service: str, key: str, caller: str, ticket: str) -> str:
        """Return the ticket that a key is bound to.

        Raises
        ======

        PlatformDownError
            If the table does not answer.
        PermissionError
            If the key belongs to another caller.
        """
        # Two callers may choose the same key: it names a row for each.
        name = f"keys/{service}/{hash64(caller):016x}/{hash64(key):016x}"
        row = {"caller": caller, "key": key, "ticket": ticket}
        if await self._platform.transact({name: 0}, {name: row}):
            return ticket
        found = (await self._platform.read(name)).value
        if not isinstance(found, dict) or found.get("caller") != caller:
            raise PermissionError("the key belongs to another caller")
        if found.get("key") != key:
            raise PermissionError("the key is too like another one")
        return str(found["ticket"])
