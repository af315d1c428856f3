"""Tests that ranking calls by progress reduces the work wasted on runs shed midway.

Runs make eight sequential calls to a service whose admission threshold varies, and
fail with the first call that is shed.  Without regard to progress, a run may be shed at
its seventh call while a new one is admitted.
"""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.request import rank_of_call

CALLS_PER_RUN = 8
NEW_RUNS_PER_STEP = 20


def wasted_fraction(
    capacity: tuple[int, int], ordered_by_progress: bool, steps: int = 400
) -> float:
    """Return the fraction of served calls that belong to runs that failed later.

    The service takes ``capacity[0]`` or ``capacity[1]`` calls a step, alternating every
    four steps.
    """
    random = Random(1)
    running: list[tuple[float, int]] = []
    useful = served = 0
    for step in range(steps):
        running += [(1.4 + 0.2 * random.random(), 0) for _ in range(NEW_RUNS_PER_STEP)]
        if ordered_by_progress:
            running.sort(key=lambda run: rank_of_call(*run))
        else:
            running.sort()
        taken = running[: capacity[step // 4 % 2]]
        served += len(taken)
        advanced = [(rank, done + 1) for rank, done in taken]
        useful += CALLS_PER_RUN * sum(done == CALLS_PER_RUN for _, done in advanced)
        running = [run for run in advanced if run[1] < CALLS_PER_RUN]
    return 1 - useful / served


@pytest.mark.parametrize(
    ("capacity", "max_ratio"),
    [((90, 90), 0.5), ((80, 100), 0.75)],
    ids=["even", "uneven"],
)
def test_ranking_by_progress_reduces_wasted_calls(capacity, max_ratio):
    """Guards against work for runs that are shed near their end."""
    by_rank = wasted_fraction(capacity, ordered_by_progress=False)
    by_progress = wasted_fraction(capacity, ordered_by_progress=True)
    assert by_progress < max_ratio * by_rank


@pytest.mark.parametrize("rank", [0.0, 0.19, 1.2, 2.5, 4.99])
def test_call_of_run_without_progress_keeps_rank_of_run(rank):
    assert rank_of_call(rank, 0) == pytest.approx(rank)


@given(st.floats(0, 4.99), st.integers(0, 50))
def test_progress_changes_rank_only_within_its_interval(rank, succeeded):
    call = rank_of_call(rank, succeeded)
    assert int(call * 5 + 1e-9) == int(rank * 5 + 1e-9)
    assert call <= rank
