"""Tests of the causes of new connections: each is attributed once."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.connections import NewConnectionCause, ReplacementCauses

_GROWTH = {NewConnectionCause.FIRST, NewConnectionCause.NONE_IDLE}


@given(st.lists(st.booleans(), max_size=60), st.integers(1, 5))
def test_opens_are_growth_or_replace_exactly_one_close(steps, max_connections):
    """Guards against a cause that is counted more often than it occurred.

    Growth beyond the previous maximum of open connections has no close to replace.
    """
    causes = ReplacementCauses(max_connections)
    open_connections = peak = 0
    for opens in steps:
        if opens and open_connections < max_connections:
            cause = causes.on_opened(open_connections)
            grows = open_connections == peak
            assert (cause in _GROWTH) == grows
            open_connections += 1
            peak = max(peak, open_connections)
        elif not opens and open_connections:
            causes.on_closed(NewConnectionCause.CANCELLED)
            open_connections -= 1


def test_memory_of_closes_is_bounded_by_the_pool():
    causes = ReplacementCauses(max_connections=2)
    for _ in range(5):
        causes.on_closed(NewConnectionCause.STALE)
    opened = [causes.on_opened(open_connections=n) for n in range(3)]
    assert opened == ["stale", "stale", "none-idle"]
