"""Every cell keeps the promises, and every break is noticed."""

import pytest
from rattanfork_testkit.matrix import BREAKS, all_cells, run_cell


def test_no_cell_breaks_a_promise():
    broken = {cell: found for cell in all_cells() if (found := run_cell(cell))}
    assert broken == {}


@pytest.mark.parametrize("seeded", BREAKS, ids=lambda b: b.name)
def test_the_matrix_notices_a_safeguard_taken_out(seeded):
    found = (run_cell(cell, seeded.parts) for cell in all_cells())
    assert any(seeded.promise in text for broken in found for text in broken)
