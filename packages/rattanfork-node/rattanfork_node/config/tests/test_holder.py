"""Tests of the holder of the configuration in force."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.routes import Configuration, Route, WeightedService

from rattanfork_node.config.holder import ConfigurationHolder


def decode(document: bytes) -> Configuration:
    version, _, weights = document.decode().partition(":")
    services = tuple(WeightedService(name, 1) for name in weights or "a")
    return Configuration(int(version), (Route("r", "h", "/", services),), {})


@given(st.lists(st.integers(1, 20), min_size=1))
def test_version_never_decreases_for_any_order_of_arrival(versions):
    holder = ConfigurationHolder(decode)
    newest = 0
    for version in versions:
        changed = holder.offer(str(version).encode())
        assert changed == (version > newest)
        newest = max(newest, version)
        assert holder.version == newest
    assert holder.document == str(newest).encode()


def test_malformed_document_leaves_the_configuration_unchanged():
    holder = ConfigurationHolder(decode)
    holder.offer(b"3")
    with pytest.raises(ValueError, match="invalid"):
        holder.offer(b"nonsense")
    assert holder.version == 3


def test_round_robin_continues_when_the_weights_are_unchanged():
    """Guards against the first service receiving all requests.

    Versions that change other routes arrive every few requests; if each restarted
    the rotation, the first service would always be chosen.
    """
    holder = ConfigurationHolder(decode)
    chosen = []
    for version in range(1, 41):
        holder.offer(b"%d:ab" % version)
        chosen.append(holder.next_service(holder.current.routes[0]))
    assert chosen.count("a") == chosen.count("b") == 20


def test_changed_services_restart_the_round_robin():
    holder = ConfigurationHolder(decode)
    holder.offer(b"1:ab")
    holder.next_service(holder.current.routes[0])
    holder.offer(b"2:c")
    assert holder.next_service(holder.current.routes[0]) == "c"
