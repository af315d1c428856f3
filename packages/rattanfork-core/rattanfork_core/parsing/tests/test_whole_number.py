"""Tests of the parser of whole numbers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.parsing import parse_whole_number


@given(st.text(max_size=30) | st.binary(max_size=30), st.integers(0, 10**6))
def test_any_text_is_a_number_within_bounds_or_rejected(text, maximum):
    try:
        number = parse_whole_number(text, 0, maximum)
    except ValueError:
        return
    assert 0 <= number <= maximum


@given(st.integers(0, 10**9), st.integers(0, 20))
def test_number_with_leading_zeros_is_parsed(number, zeros):
    assert parse_whole_number("0" * zeros + str(number), 0, 10**9) == number


@pytest.mark.parametrize(
    "text",
    ["", "²", "٣", "1_000", "+5", "-5", " 5", "5\n", "0x5", "1.0", "9" * 5000],
    ids=lambda text: repr(text[:8]),
)
def test_text_that_int_or_isdigit_accepts_is_rejected(text):
    """Guards against inputs that raise later or mean another number elsewhere."""
    with pytest.raises(ValueError, match="expected a whole number"):
        parse_whole_number(text, 0, 10**9)
