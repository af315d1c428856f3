"""Validation of the client accounts of a configuration."""

from collections.abc import Mapping, Sequence
from math import isfinite

from rattanfork_core.client_accounts.account import ClientAccount

#: Maximum accounts in a configuration, and maximum keys of all accounts.
_MAX_ACCOUNTS = 100_000
_MAX_KEYS = 200_000
#: Maximum characters of a name and of a key; both are sent in headers.
_MAX_NAME_LENGTH = 200
_MAX_KEY_LENGTH = 1024


def validate_accounts(
    accounts: Mapping[ClientAccount, Sequence[str]],
) -> list[str]:
    """Return the errors in accounts and their keys, each with its path.

    The messages never contain a key.

    Parameters
    ==========

    accounts : mapping
        The keys of each account.

    Examples
    ========

    >>> validate_accounts({ClientAccount("a"): ["k1"], ClientAccount("b"): ["k1"]})
    ['b.keys[0]: is also a key of a']
    >>> validate_accounts({ClientAccount("a", rate=-1.0): [""]})
    ['a.rate: must be finite and at least 0', 'a.keys[0]: empty']
    """
    findings = []
    if len(accounts) > _MAX_ACCOUNTS:
        findings.append(f"{len(accounts)} accounts, at most {_MAX_ACCOUNTS} allowed")
    total_keys = sum(len(keys) for keys in accounts.values())
    if total_keys > _MAX_KEYS:
        findings.append(f"{total_keys} keys, at most {_MAX_KEYS} allowed")
    owners: dict[str, str] = {}
    for account, keys in accounts.items():
        findings += _account_errors(account)
        for index, key in enumerate(keys):
            owner = owners.setdefault(key, account.name)
            error = _key_error(key)
            if owner != account.name:
                error = f"is also a key of {owner}"
            if error:
                findings.append(f"{account.name}.keys[{index}]: {error}")
    return findings


def _account_errors(account: ClientAccount) -> list[str]:
    findings = []
    name = account.name
    if not name or len(name) > _MAX_NAME_LENGTH or not name.isascii():
        findings.append(
            f"{name[:_MAX_NAME_LENGTH]!r}: "
            "1 to 200 printable ASCII characters without outer spaces expected"
        )
    elif not name.isprintable() or name != name.strip():
        findings.append(
            f"{name!r}: "
            "1 to 200 printable ASCII characters without outer spaces expected"
        )
    for field, value in (("rate", account.rate), ("burst", account.burst)):
        if not isfinite(value) or value < 0:
            findings.append(f"{name}.{field}: must be finite and at least 0")
    return findings


def _key_error(key: str) -> str:
    if not key:
        return "empty"
    if len(key) > _MAX_KEY_LENGTH:
        return "at most 1024 characters expected"
    if not key.isascii() or not key.isprintable() or key != key.strip():
        return "printable ASCII characters without outer spaces expected"
    return ""
