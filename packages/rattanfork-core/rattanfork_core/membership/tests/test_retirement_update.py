"""Tests of the datagram that disseminates retirements of upstreams."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.membership import (
    RetirementUpdate,
    decode_gossip,
    encode_gossip,
    messages,
)
from rattanfork_core.retirement import Retirement

KEY = b"k"
NAMES = st.text(min_size=1, max_size=200)


@given(st.lists(st.builds(Retirement, NAMES, NAMES, st.integers(0, 1 << 61))))
def test_update_is_decoded_as_it_was_encoded(retirements):
    update = RetirementUpdate(tuple(retirements))
    assert decode_gossip(encode_gossip(update, KEY), KEY) == update


@pytest.mark.parametrize(
    "fields",
    [["n1", "u1"], ["n1", "", 1], ["n1", "u" * 201, 1], ["n1", "u1", -1], ["n1", 7, 1]],
)
def test_update_with_a_malformed_retirement_is_refused(fields):
    """Guards against a datagram that ends the handler instead of being counted."""
    number = messages._MESSAGE_TYPES.index(RetirementUpdate)
    body = msgpack.packb((number, [fields]))
    mac = messages.hmac.digest(KEY, b"gossip" + body, "sha256")[:12]
    with pytest.raises(ValueError, match="retirement"):
        decode_gossip(mac + body, KEY)
