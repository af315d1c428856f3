"""The keys of the account that all clients belong to."""

from collections.abc import Callable

#: Name of the account.
ACCOUNT_NAME = "clients"
#: Seconds in which a key that was taken away is out of use everywhere; it stands in the
#: settings of the nodes.
REVOKE_WITHIN = 4.0
#: Seconds after which a new key is known, with what a store needs that was away.
_KNOWN_AFTER = 5.0
#: Seconds that this process's own pauses add.
_PAUSES = 0.3


class KeyRing:
    """Adds keys and takes them away.

    Parameters
    ==========

    now : callable
        Returns seconds from the start of the soak.

    Examples
    ========

    >>> clock = [0.0]
    >>> keys = KeyRing(lambda: clock[0])
    >>> old = keys.current
    >>> keys.add()
    >>> keys.in_force == [old, keys.current]
    True
    >>> keys.take_away()
    >>> keys.has_ended(old, sent=4.0), keys.has_ended(old, sent=4.5)
    (False, True)
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._added: dict[str, float] = {}
        self._taken: dict[str, float] = {}
        self.add()

    @property
    def current(self) -> str:
        """The newest key."""
        return list(self._added)[-1]

    @property
    def last_taken(self) -> str:
        """The key that was taken away last, or the newest while none was."""
        return list(self._taken)[-1] if self._taken else self.current

    @property
    def in_force(self) -> list[str]:
        """Keys that the next configuration holds."""
        return [key for key in self._added if key not in self._taken]

    def add(self) -> None:
        """Make a key."""
        self._added[f"soak-key-{len(self._added)}-of-many"] = self._now()

    def take_away(self) -> None:
        """Take the oldest key away; call it after that was acknowledged."""
        self._taken[self.in_force[0]] = self._now()

    def has_ended(self, key: str, sent: float) -> bool:
        """Return whether a request that was sent at a time must not run."""
        taken = self._taken.get(key)
        return taken is not None and sent > taken + REVOKE_WITHIN + _PAUSES

    def is_known(self, key: str, sent: float) -> bool:
        """Return whether each node must know a key of a request sent at a time."""
        added = self._added.get(key)
        return (
            added is not None and key not in self._taken and sent > added + _KNOWN_AFTER
        )
