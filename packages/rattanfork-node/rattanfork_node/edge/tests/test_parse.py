"""Tests of the validation of callers' requests."""

from random import Random

import pytest
from aiohttp.test_utils import make_mocked_request
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_node.edge.parse import BadRequestError, parse_request

TIMEOUT = "Rattanfork-Timeout-Ms"
MAX_TIMEOUT_S = 600.0


def _parse_timeout(value: str) -> float | None:
    request = make_mocked_request("GET", "/claims/get", headers={TIMEOUT: value})
    return parse_request(request, b"", Random(1)).timeout


@pytest.mark.parametrize(
    "value",
    ["0000000019999999999", "9" * 5000, "²", "1_000", "+5", "-1", "0", ""],
    ids=lambda value: repr(value[:20]),
)
def test_timeout_out_of_bounds_or_malformed_is_rejected(value):
    """Guards against a bound that only the first digits are compared with."""
    with pytest.raises(BadRequestError, match="from 1 to 600000"):
        _parse_timeout(value)


@given(st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=24))
def test_any_timeout_is_within_bounds_or_rejected(value):
    try:
        timeout = _parse_timeout(value)
    except BadRequestError:
        return
    assert 0 < timeout <= MAX_TIMEOUT_S
