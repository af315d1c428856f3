"""What commands print."""

import json
import sys

import typer
from rich.console import Console
from rich.table import Table


def fail(message: str, status: int) -> typer.Exit:
    """Print one line on standard error; return the exit to raise."""
    print(f"rattanfork: {message}", file=sys.stderr)
    return typer.Exit(status)


def print_json(value: object) -> None:
    """Print a value for scripts."""
    print(json.dumps(value, indent=2))


def print_table(title: str, columns: list[str], rows: list[list[object]]) -> None:
    """Print rows under headings."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console(width=110 if not sys.stdout.isatty() else None).print(table)
