"""The configuration in force at one node."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.routes import Configuration, Route, WeightedService

from rattanfork_node.config.holder import ConfigurationHolder


def decode(document: bytes) -> Configuration:
    version, _, weights = document.decode().partition(":")
    shares = tuple(WeightedService(name, 1) for name in weights or "a")
    return Configuration(int(version), (Route("r", "h", "/", shares),), {})


@given(st.lists(st.integers(1, 20), min_size=1))
def test_versions_only_rise_in_whatever_order_they_come(versions):
    holder = ConfigurationHolder(decode)
    seen = 0
    for version in versions:
        changed = holder.offer(str(version).encode())
        assert changed == (version > seen)
        seen = max(seen, version)
        assert holder.version == seen
    assert holder.document == str(seen).encode()


def test_a_document_that_is_none_changes_nothing():
    holder = ConfigurationHolder(decode)
    holder.offer(b"3")
    with pytest.raises(ValueError, match="invalid"):
        holder.offer(b"nonsense")
    assert holder.version == 3


def test_turns_go_on_over_a_version_that_leaves_the_shares_alone():
    """A new version comes every few requests and changes another route.

    Were the turns begun anew each time, the first share would get all.
    """
    holder = ConfigurationHolder(decode)
    dealt = []
    for version in range(1, 41):
        holder.offer(b"%d:ab" % version)
        dealt.append(holder.next_service(holder.current.routes[0]))
    assert dealt.count("a") == dealt.count("b") == 20


def test_other_shares_begin_anew():
    holder = ConfigurationHolder(decode)
    holder.offer(b"1:ab")
    holder.next_service(holder.current.routes[0])
    holder.offer(b"2:c")
    assert holder.next_service(holder.current.routes[0]) == "c"
