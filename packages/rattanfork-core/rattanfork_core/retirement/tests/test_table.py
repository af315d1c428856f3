"""Tests of the table of retirements."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.retirement import Retirement, RetirementTable

RETIREMENTS = st.lists(
    st.builds(
        Retirement,
        st.sampled_from(["n1", "n2"]),
        st.sampled_from(["u1", "u2", "u3"]),
        st.integers(0, 3),
    ),
    max_size=20,
)


@given(RETIREMENTS, st.randoms(use_true_random=False))
def test_tables_agree_in_whatever_order_retirements_arrive(retirements, random):
    """Guards against a node that forgets a retirement by a late message."""
    shuffled = [*retirements, *retirements]
    random.shuffle(shuffled)
    first, second = RetirementTable(), RetirementTable()
    first.merge(retirements)
    second.merge(shuffled)
    assert sorted(first.entries()) == sorted(second.entries())
    assert all(second.covers(retirement) for retirement in retirements)


def test_table_is_bounded_and_drops_the_oldest():
    table = RetirementTable()
    names = [f"u{number}" for number in range(table.MAX_ENTRIES + 1)]
    table.merge(Retirement("n1", name, 1) for name in names)
    assert len(table) == table.MAX_ENTRIES
    assert not table.covers(Retirement("n1", "u0", 1))
    assert table.covers(Retirement("n1", names[-1], 1))
