"""Run the fault matrix and print a table of steps by faults."""

import sys
from collections import defaultdict

from rich.console import Console
from rich.table import Table

from rattanfork_testkit.matrix.cells import REQUEST_KINDS, all_cells, run_cell
from rattanfork_testkit.matrix.change import (
    ChangeCell,
    ChangeFault,
    ChangeStep,
    change_cells,
    run_change,
)
from rattanfork_testkit.matrix.faults import Fault, Step, applies
from rattanfork_testkit.matrix.mutants import MUTANTS


def main() -> int:
    """Run all cells and all mutants; return the exit status."""
    results: dict = defaultdict(list)
    failed = 0
    for cell in all_cells():
        violations = run_cell(cell)
        failed += bool(violations)
        for step, fault in cell.faults[:1]:
            results[cell.kind, step, fault].append(violations)
        if violations:
            print(cell, violations)
    console = Console(width=150)
    for kind in REQUEST_KINDS:
        console.print(_table(kind, results))
    total = sum(len(cells) for cells in results.values())
    print(f"{total} cells, {failed} failed")
    undetected = [b.name for b in MUTANTS if not _detects(b)]
    print(
        f"{len(MUTANTS) - len(undetected)} of {len(MUTANTS)} mutants detected",
        *undetected,
    )
    changes = {cell: run_change(cell) for cell in change_cells()}
    console.print(_change_table(changes))
    change_failed = sum(bool(violations) for violations in changes.values())
    print(f"{len(changes)} configuration change cells, {change_failed} failed")
    return 1 if failed or undetected or change_failed else 0


def _change_table(changes: dict[ChangeCell, list[str]]) -> Table:
    table = Table(
        title="configuration change: cells passed / run", title_justify="left"
    )
    table.add_column("fault")
    for step in ChangeStep:
        table.add_column(step.value)
    for fault in ChangeFault:
        row = []
        for step in ChangeStep:
            outcomes = [v for c, v in changes.items() if c.faults[0] == (step, fault)]
            row.append(f"{sum(not v for v in outcomes)}/{len(outcomes)}")
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
            passed = sum(not violations for violations in cells)
            shown = f"{passed}/{len(cells)}" if cells else "-"
            row.append(shown if applies(step, fault) else "-")
        table.add_row(fault.value, *row)
    return table


def _detects(mutant) -> bool:
    return any(
        any(mutant.violation in text for text in run_cell(cell, mutant.components))
        for cell in all_cells()
    )


if __name__ == "__main__":
    sys.exit(main())
