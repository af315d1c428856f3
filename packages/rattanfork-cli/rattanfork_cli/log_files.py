"""Reads the log files that commands take as arguments."""

import sys
from collections.abc import Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import typer

from rattanfork_cli.exits import BAD_INPUT
from rattanfork_cli.output import fail

_STANDARD_INPUT = Path("-")
LogFiles = Annotated[
    list[Path] | None,
    typer.Argument(
        help="Log files of nodes; standard input if none is given, or for '-'."
    ),
]


def read_log_lines(files: list[Path] | None) -> Iterator[str]:
    """Yield the lines of log files, or of standard input if there are none.

    Raises
    ======

    typer.Exit
        If a file cannot be read; the error message names it.
    """
    for file in files or [_STANDARD_INPUT]:
        if file == _STANDARD_INPUT:
            yield from sys.stdin
            continue
        try:
            with file.open(errors="replace") as stream:
                yield from stream
        except OSError as error:
            raise fail(f"cannot read {file}: {error.strerror}", BAD_INPUT) from None


def format_time_of_day(unix_time: float) -> str:
    """Format a Unix time as time of day in UTC, with milliseconds.

    Examples
    ========

    >>> format_time_of_day(3661.5)
    '01:01:01.500'
    """
    moment = datetime.fromtimestamp(unix_time, UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]
