"""Lookup of client accounts by API key."""

import os
from collections.abc import Iterable, Mapping
from hashlib import sha256

from rattanfork_core.client_accounts.account import ClientAccount

_SALT_BYTES = 32


class AccountIndex:
    """The accounts of one configuration, indexed by key and by name.

    Explanation
    ===========

    Keys are stored as salted digests.  A lookup compares only digests, so its
    duration does not reveal how much of a guessed key is correct.

    Parameters
    ==========

    accounts : mapping
        The keys of each account; must have passed ``validate_accounts``.

    Examples
    ========

    >>> clerks = ClientAccount("clerks")
    >>> index = AccountIndex({clerks: ["k1", "k2"]})
    >>> index.find(b"k2").name, index.find(b"k3")
    ('clerks', None)
    >>> index.get("clerks") is clerks
    True
    """

    def __init__(self, accounts: Mapping[ClientAccount, Iterable[str]]) -> None:
        self._salted_hash = sha256(os.urandom(_SALT_BYTES))
        self._accounts = {account.name: account for account in accounts}
        self._key_counts = {a.name: len(set(keys)) for a, keys in accounts.items()}
        self._by_digest = {
            self._digest(key.encode()): account
            for account, keys in accounts.items()
            for key in keys
        }

    @property
    def accounts(self) -> Mapping[str, ClientAccount]:
        """All accounts, by name."""
        return self._accounts

    @property
    def key_count(self) -> int:
        """Number of keys of all accounts."""
        return len(self._by_digest)

    def account_key_count(self, name: str) -> int:
        """Return the number of keys of an account; 0 if it is unknown."""
        return self._key_counts.get(name, 0)

    def find(self, key: bytes) -> ClientAccount | None:
        """Return the account that a key belongs to, or None."""
        return self._by_digest.get(self._digest(key))

    def get(self, name: str) -> ClientAccount | None:
        """Return the account with the given name, or None."""
        return self._accounts.get(name)

    def __repr__(self) -> str:
        return f"AccountIndex({len(self._accounts)} accounts, {self.key_count} keys)"

    def _digest(self, key: bytes) -> bytes:
        digest = self._salted_hash.copy()
        digest.update(key)
        return digest.digest()
