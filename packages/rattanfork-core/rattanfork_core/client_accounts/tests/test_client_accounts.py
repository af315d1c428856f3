"""Lookup and validation of client accounts and their keys."""

from math import inf, nan

import pytest
from rattanfork_core.client_accounts import (
    AccountIndex,
    ClientAccount,
    validate_accounts,
)


def test_every_key_finds_its_account():
    clerks, auditors = ClientAccount("clerks"), ClientAccount("auditors")
    index = AccountIndex({clerks: ["a1", "a2"], auditors: ["b1"]})
    assert index.find(b"a1") is index.find(b"a2") is clerks
    assert index.find(b"b1") is auditors
    assert index.key_count == 3


@pytest.mark.parametrize("key", [b"", b"a", b"a11", b"A1", b" a1", b"a1\x00"])
def test_similar_key_is_unknown(key):
    index = AccountIndex({ClientAccount("clerks"): ["a1"]})
    assert index.find(key) is None


def test_index_does_not_store_or_print_keys():
    """Guards against keys in log lines or state dumps."""
    index = AccountIndex({ClientAccount("clerks"): ["secret-key"]})
    assert "secret-key" not in f"{index!r} {vars(index)}"


def test_key_of_two_accounts_is_reported_with_its_path():
    first, second = ClientAccount("a"), ClientAccount("b")
    findings = validate_accounts({first: ["k1", "k2"], second: ["k3", "k1"]})
    assert findings == ["b.keys[1]: is also a key of a"]


def test_duplicate_key_within_account_is_allowed():
    assert validate_accounts({ClientAccount("a"): ["k1", "k1"]}) == []


@pytest.mark.parametrize("rate", [-1.0, nan, inf])
def test_invalid_rate_is_reported(rate):
    account = ClientAccount("a", rate=rate)
    assert validate_accounts({account: []}) == ["a.rate: must be finite and at least 0"]


@pytest.mark.parametrize("name", ["", " a", "a\r\nb", "ü", "x" * 201])
def test_name_invalid_in_header_is_reported(name):
    [finding] = validate_accounts({ClientAccount(name): []})
    assert finding.endswith(
        ": 1 to 200 printable ASCII characters without outer spaces expected"
    )


@pytest.mark.parametrize("key", ["", "k\n", "ü", "x" * 1025])
def test_key_invalid_in_header_is_reported_without_its_text(key):
    [finding] = validate_accounts({ClientAccount("a"): [key]})
    assert finding.startswith("a.keys[0]: ")
    assert not key or key not in finding


def test_all_errors_are_reported_together():
    invalid = {ClientAccount("a", rate=-1.0): [""], ClientAccount("b", burst=nan): [""]}
    assert len(validate_accounts(invalid)) == 4
