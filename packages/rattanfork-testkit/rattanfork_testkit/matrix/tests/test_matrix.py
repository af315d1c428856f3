"""No cell of the fault matrix violates a guarantee; each mutant is detected."""

import pytest
from rattanfork_testkit.matrix import (
    CHANGE_MUTANTS,
    MUTANTS,
    all_cells,
    change_cells,
    run_cell,
    run_change,
)


def test_no_request_cell_violates_a_guarantee():
    violations = {cell: found for cell in all_cells() if (found := run_cell(cell))}
    assert violations == {}


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda b: b.name)
def test_request_matrix_detects_mutant(mutant):
    found = (run_cell(cell, mutant.components) for cell in all_cells())
    assert any(mutant.violation in text for violations in found for text in violations)


def test_no_change_cell_violates_a_guarantee():
    violations = {cell: found for cell in change_cells() if (found := run_change(cell))}
    assert violations == {}


@pytest.mark.parametrize("mutant", CHANGE_MUTANTS, ids=lambda b: b[0])
def test_change_matrix_detects_mutant(mutant):
    _, components, expected = mutant
    found = (run_change(cell, components) for cell in change_cells())
    assert any(expected in text for violations in found for text in violations)
