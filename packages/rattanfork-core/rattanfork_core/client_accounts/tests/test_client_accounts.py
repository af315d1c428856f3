"""Accounts, their keys, and what is wrong with them."""

from math import inf, nan

import pytest
from rattanfork_core.client_accounts import (
    AccountIndex,
    ClientAccount,
    validate_accounts,
)


def test_keys_lead_to_their_account():
    clerks, auditors = ClientAccount("clerks"), ClientAccount("auditors")
    index = AccountIndex({clerks: ["a1", "a2"], auditors: ["b1"]})
    assert index.find(b"a1") is index.find(b"a2") is clerks
    assert index.find(b"b1") is auditors
    assert index.key_count == 3


@pytest.mark.parametrize("key", [b"", b"a", b"a11", b"A1", b" a1", b"a1\x00"])
def test_key_that_only_resembles_another_is_unknown(key):
    index = AccountIndex({ClientAccount("clerks"): ["a1"]})
    assert index.find(key) is None


def test_index_holds_and_shows_no_key():
    """Guards against keys in a log line or a dump of the state."""
    index = AccountIndex({ClientAccount("clerks"): ["secret-key"]})
    assert "secret-key" not in f"{index!r} {vars(index)}"


def test_key_of_two_accounts_is_found_with_its_place():
    first, second = ClientAccount("a"), ClientAccount("b")
    findings = validate_accounts({first: ["k1", "k2"], second: ["k3", "k1"]})
    assert findings == ["b.keys[1]: is also a key of a"]


def test_key_twice_in_one_account_is_no_finding():
    assert validate_accounts({ClientAccount("a"): ["k1", "k1"]}) == []


@pytest.mark.parametrize("figure", [-1.0, nan, inf])
def test_rate_that_is_no_limit_is_found(figure):
    account = ClientAccount("a", rate=figure)
    assert validate_accounts({account: []}) == ["a.rate: not a number from 0 on"]


@pytest.mark.parametrize("name", ["", " a", "a\r\nb", "ü", "x" * 201])
def test_name_that_can_not_travel_in_a_header_is_found(name):
    [finding] = validate_accounts({ClientAccount(name): []})
    assert finding.endswith("not a name of an account")


@pytest.mark.parametrize("key", ["", "k\n", "ü", "x" * 1025])
def test_key_that_no_header_can_carry_is_found_and_not_shown(key):
    [finding] = validate_accounts({ClientAccount("a"): [key]})
    assert finding.startswith("a.keys[0]: ")
    assert not key or key not in finding


def test_all_findings_are_reported_together():
    wrong = {ClientAccount("a", rate=-1.0): [""], ClientAccount("b", burst=nan): [""]}
    assert len(validate_accounts(wrong)) == 4
