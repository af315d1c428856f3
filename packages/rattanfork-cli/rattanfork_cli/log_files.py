"""Log files as arguments of commands."""

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
    typer.Argument(help="Logs of any nodes; standard input without, or for '-'."),
]


def log_texts(files: list[Path] | None) -> Iterator[str]:
    """Return the lines of log files, or of standard input.

    Raises
    ======

    typer.Exit
        If a file can't be read; the message names it.
    """
    for file in files or [_STANDARD_INPUT]:
        if file == _STANDARD_INPUT:
            yield from sys.stdin
            continue
        try:
            with file.open(errors="replace") as stream:
                yield from stream
        except OSError as error:
            raise fail(f"{file}: {error.strerror}", BAD_INPUT) from None


def time_of_day(at: float) -> str:
    """Return a time in seconds since 1970 as hours to milliseconds, in UTC.

    Examples
    ========

    >>> time_of_day(3661.5)
    '01:01:01.500'
    """
    moment = datetime.fromtimestamp(at, UTC)
    return moment.strftime("%H:%M:%S.%f")[:-3]
