"""Print the matrix: steps by faults."""

import sys
from collections import defaultdict

from rich.console import Console
from rich.table import Table

from rattanfork_testkit.matrix.breaks import BREAKS
from rattanfork_testkit.matrix.cells import KINDS, all_cells, run_cell
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
    return 1 if failed or missed else 0


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
