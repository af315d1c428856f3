"""The fault matrix: every fault at every step, in the core, without sleeps."""

from rattanfork_testkit.matrix.breaks import BREAKS, Break
from rattanfork_testkit.matrix.cells import Cell, all_cells, run_cell
from rattanfork_testkit.matrix.change import (
    CHANGE_BREAKS,
    ChangeCell,
    change_cells,
    run_change,
)
from rattanfork_testkit.matrix.faults import Fault, Step

__all__ = [
    "BREAKS",
    "CHANGE_BREAKS",
    "Break",
    "Cell",
    "ChangeCell",
    "Fault",
    "Step",
    "all_cells",
    "change_cells",
    "run_cell",
    "run_change",
]
