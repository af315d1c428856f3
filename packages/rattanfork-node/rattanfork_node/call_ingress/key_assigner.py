"""Call path: binding of idempotency keys chosen by callers."""

from rattanfork_core.hashing import hash64
from rattanfork_platform import Platform


class KeyAssigner:
    """Binds a caller-chosen key to a ticket, once, by a row of the platform's table.

    Explanation
    ===========

    A ticket, a key issued by a node, names the call gate that may run it.  A key
    chosen by a caller does not, and membership views differ, so the table decides:
    the first node to insert the row binds the key, all others read it.  If the
    response to the insert is lost, a second insert is refused and the row is read.
    Requests with such keys can't run while the table is unavailable; those with
    tickets can.

    Parameters
    ==========

    platform : Platform
        Client of the table.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def assign(self, service: str, key: str, caller: str, ticket: str) -> str:
        """Return the ticket that a key is bound to.

        Raises
        ======

        PlatformDownError
            If the table does not respond.
        PermissionError
            If the key belongs to another caller.
        """
        # Two callers may choose the same key, so each has its own row.
        name = f"keys/{service}/{hash64(caller):016x}/{hash64(key):016x}"
        row = {"caller": caller, "key": key, "ticket": ticket}
        if await self._platform.transact({name: 0}, {name: row}):
            return ticket
        bound = (await self._platform.read(name)).value
        if not isinstance(bound, dict) or bound.get("caller") != caller:
            raise PermissionError("the key belongs to another caller")
        if bound.get("key") != key:
            raise PermissionError(
                "the hash of the key collides with that of another key"
            )
        return str(bound["ticket"])
