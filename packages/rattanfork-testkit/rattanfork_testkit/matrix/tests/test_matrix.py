"""Every cell keeps the promises, and every break is noticed."""

import pytest
from rattanfork_testkit.matrix import (
    BREAKS,
    CHANGE_BREAKS,
    all_cells,
    change_cells,
    run_cell,
    run_change,
)


def test_no_cell_breaks_a_promise():
    broken = {cell: found for cell in all_cells() if (found := run_cell(cell))}
    assert broken == {}


@pytest.mark.parametrize("seeded", BREAKS, ids=lambda b: b.name)
def test_the_matrix_notices_a_safeguard_taken_out(seeded):
    found = (run_cell(cell, seeded.parts) for cell in all_cells())
    assert any(seeded.promise in text for broken in found for text in broken)


def test_no_cell_of_a_change_breaks_a_promise():
    broken = {cell: found for cell in change_cells() if (found := run_change(cell))}
    assert broken == {}


@pytest.mark.parametrize("seeded", CHANGE_BREAKS, ids=lambda b: b[0])
def test_the_matrix_of_a_change_notices_a_safeguard_taken_out(seeded):
    _, parts, promise = seeded
    found = (run_change(cell, parts) for cell in change_cells())
    assert any(promise in text for broken in found for text in broken)
