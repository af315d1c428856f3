"""Rotation of the client keys of the one account that all clients use."""

from collections.abc import Callable

#: Name of the account.
ACCOUNT_NAME = "clients"
#: Time after which every node rejects a revoked key; also set in the nodes' settings.
REVOKE_WITHIN_S = 4.0
#: Time after which every node accepts a new key, including a store outage.
_PROPAGATION_S = 5.0
#: Allowance for scheduling delays of the soak process itself.
_SCHEDULING_SLACK_S = 0.3


class KeyRing:
    """Adds and revokes keys, and tells which ones nodes must accept or reject.

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
    >>> keys.valid == [old, keys.current]
    True
    >>> keys.revoke_oldest()
    >>> keys.must_be_rejected(old, 4.0), keys.must_be_rejected(old, 4.5)
    (False, True)
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._added: dict[str, float] = {}
        self._revoked: dict[str, float] = {}
        self.add()

    @property
    def current(self) -> str:
        """The newest key."""
        return list(self._added)[-1]

    @property
    def last_revoked(self) -> str:
        """The key that was revoked last, or the newest if none was."""
        return list(self._revoked)[-1] if self._revoked else self.current

    @property
    def valid(self) -> list[str]:
        """Keys that are not revoked, oldest first."""
        return [key for key in self._added if key not in self._revoked]

    def add(self) -> None:
        """Generate a key."""
        self._added[f"soak-key-{len(self._added)}-of-many"] = self._now()

    def revoke_oldest(self) -> None:
        """Revoke the oldest key; call this once the store has accepted the change."""
        self._revoked[self.valid[0]] = self._now()

    def must_be_rejected(self, key: str, sent: float) -> bool:
        """Return whether a request with this key, sent at ``sent``, must not run."""
        revoked = self._revoked.get(key)
        return (
            revoked is not None
            and sent > revoked + REVOKE_WITHIN_S + _SCHEDULING_SLACK_S
        )

    def must_be_accepted(self, key: str, sent: float) -> bool:
        """Return whether every node must accept a request sent at ``sent``."""
        added = self._added.get(key)
        return (
            added is not None
            and key not in self._revoked
            and sent > added + _PROPAGATION_S
        )
