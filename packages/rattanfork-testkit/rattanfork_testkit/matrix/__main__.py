"""Print the matrix: steps by faults."""

import sys
from collections import defaultdict

from rich.console import Console
from rich.table import Table

from rattanfork_testkit.matrix.breaks import BREAKS
from rattanfork_testkit.matrix.cells import KINDS, all_cells, run_cell
from rattanfork_testkit.matrix.change import (
    ChangeCell,
    ChangeFault,
    ChangeStep,
    change_cells,
    run_change,
)
from rattanfork_testkit.matrix.faults import Fault, Step, applies


def main() -> int:
    """Run all cells and all breaks; return the exit status."""
    results: dict = defaultdict(list)
    failed = 0
    for cell in all_cells():
        broken = run_cell(cell)
        failed += bool(broken)
        for step, fault in cell.faults[:1]:
            results[cell.kind, step, fault].append(broken)
        if broken:
            print(cell, broken)
    console = Console(width=150)
    for kind in KINDS:
        console.print(_table(kind, results))
    total = sum(len(cells) for cells in results.values())
    print(f"{total} cells, {failed} failed")
    missed = [b.name for b in BREAKS if not _caught(b)]
    print(f"{len(BREAKS) - len(missed)} of {len(BREAKS)} breaks caught", *missed)
    changes = {cell: run_change(cell) for cell in change_cells()}
    console.print(_change_table(changes))
    change_failed = sum(bool(broken) for broken in changes.values())
    print(f"{len(changes)} cells of a change, {change_failed} failed")
    return 1 if failed or missed or change_failed else 0


def _change_table(changes: dict[ChangeCell, list[str]]) -> Table:
    table = Table(title="configuration change: passed / run", title_justify="left")
    table.add_column("fault")
    for step in ChangeStep:
        table.add_column(step.value)
    for fault in ChangeFault:
        row = []
        for step in ChangeStep:
            found = [b for c, b in changes.items() if c.faults[0] == (step, fault)]
            row.append(f"{sum(not b for b in found)}/{len(found)}")
        table.add_row(fault.value, *row)
    return table


def _table(kind: str, results: dict) -> Table:
    table = Table(title=f"{kind}: cells passed / run", title_justify="left")
    table.add_column("fault")
    for step in Step:
        table.add_column(step.value)
    for fault in Fault:
        row = []
        for step in Step:
            cells = results[kind, step, fault]
            passed = sum(not broken for broken in cells)
            shown = f"{passed}/{len(cells)}" if cells else "-"
            row.append(shown if applies(step, fault) else "-")
        table.add_row(fault.value, *row)
    return table


def _caught(seeded) -> bool:
    return any(
        any(seeded.promise in text for text in run_cell(cell, seeded.parts))
        for cell in all_cells()
    )


if __name__ == "__main__":
    sys.exit(main())
