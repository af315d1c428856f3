"""What is wrong with the accounts of a configuration."""

from collections.abc import Mapping, Sequence
from math import isfinite

from rattanfork_core.client_accounts.account import ClientAccount

#: Accounts that one configuration may hold, and keys of all of them.
_MOST_ACCOUNTS = 100_000
_MOST_KEYS = 200_000
#: Characters of a name or a key; the name travels in a header.
_LONGEST_NAME = 200
_LONGEST_KEY = 1024


def validate_accounts(
    accounts: Mapping[ClientAccount, Sequence[str]],
) -> list[str]:
    """Return what is wrong with accounts and their keys, each with its place.

    No finding holds a key.

    Parameters
    ==========

    accounts : mapping
        Each account with its keys.

    Examples
    ========

    >>> validate_accounts({ClientAccount("a"): ["k1"], ClientAccount("b"): ["k1"]})
    ['b.keys[0]: is also a key of a']
    >>> validate_accounts({ClientAccount("a", rate=-1.0): [""]})
    ['a.rate: not a number from 0 on', 'a.keys[0]: empty']
    """
    findings = []
    if len(accounts) > _MOST_ACCOUNTS:
        findings.append(f"{len(accounts)} accounts, {_MOST_ACCOUNTS} are allowed")
    keys = sum(len(held) for held in accounts.values())
    if keys > _MOST_KEYS:
        findings.append(f"{keys} keys, {_MOST_KEYS} are allowed")
    owners: dict[str, str] = {}
    for account, held in accounts.items():
        findings += _limit_findings(account)
        for place, key in enumerate(held):
            owner = owners.setdefault(key, account.name)
            wrong = _key_fault(key)
            if owner != account.name:
                wrong = f"is also a key of {owner}"
            if wrong:
                findings.append(f"{account.name}.keys[{place}]: {wrong}")
    return findings


def _limit_findings(account: ClientAccount) -> list[str]:
    findings = []
    name = account.name
    if not name or len(name) > _LONGEST_NAME or not name.isascii():
        findings.append(f"{name[:_LONGEST_NAME]!r}: not a name of an account")
    elif not name.isprintable() or name != name.strip():
        findings.append(f"{name!r}: not a name of an account")
    for field, figure in (("rate", account.rate), ("burst", account.burst)):
        if not isfinite(figure) or figure < 0:
            findings.append(f"{name}.{field}: not a number from 0 on")
    return findings


def _key_fault(key: str) -> str:
    if not key:
        return "empty"
    if len(key) > _LONGEST_KEY:
        return "too long"
    if not key.isascii() or not key.isprintable() or key != key.strip():
        return "not printable ASCII"
    return ""
