"""The fault matrix: every fault at every step, in the core, without sleeps."""

from rattanfork_testkit.matrix.breaks import BREAKS, Break
from rattanfork_testkit.matrix.cells import Cell, all_cells, run_cell
from rattanfork_testkit.matrix.faults import Fault, Step

__all__ = ["BREAKS", "Break", "Cell", "Fault", "Step", "all_cells", "run_cell"]
