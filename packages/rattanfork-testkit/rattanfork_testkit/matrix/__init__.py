"""Fault matrix: injects each fault at each step of a simulated request or change."""

from rattanfork_testkit.matrix.cells import Cell, all_cells, run_cell
from rattanfork_testkit.matrix.change import (
    CHANGE_MUTANTS,
    ChangeCell,
    change_cells,
    run_change,
)
from rattanfork_testkit.matrix.faults import Fault, Step
from rattanfork_testkit.matrix.mutants import MUTANTS, Mutant

__all__ = [
    "MUTANTS",
    "CHANGE_MUTANTS",
    "Mutant",
    "Cell",
    "ChangeCell",
    "Fault",
    "Step",
    "all_cells",
    "change_cells",
    "run_cell",
    "run_change",
]
