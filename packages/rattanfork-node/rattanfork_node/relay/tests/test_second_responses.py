"""Tests that only a response to an attempt itself proves that it has not run."""

import pytest

from rattanfork_node.relay.tests.second_responses import Second, play

SECONDS = {
    "rejection twice": Second(copies_id=True, refuses=True, after_refusals_only=True),
    "every response twice": Second(
        copies_id=True, refuses=False, after_refusals_only=False
    ),
    "rejection without ID": Second(
        copies_id=False, refuses=True, after_refusals_only=True
    ),
    "rejection without ID after any": Second(
        copies_id=False, refuses=True, after_refusals_only=False
    ),
    "rejection with ID after any": Second(
        copies_id=True, refuses=True, after_refusals_only=False
    ),
}


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("gates", [1, 2, 4])
@pytest.mark.parametrize("name", SECONDS)
def test_second_response_is_no_proof_for_another_attempt(name, gates, seed):
    """Guards against a promise of "not run" that rests on another attempt's response.

    Some responses are followed by a second one within 4 ms, on the same connection.
    """
    result = play(SECONDS[name], gates, seed, seconds=6.0)
    assert result.refused_but_run == []
    assert result.run_twice == []
    assert result.mixed == []


def test_refusals_without_second_responses_are_tried_again():
    """Guards against caution that costs retries where nothing is wrong."""
    result = play(None, gates=2)
    served = sum(r.status == 200 for r in result.results.values())
    assert result.unknown == []
    assert served > 0.98 * len(result.results)
