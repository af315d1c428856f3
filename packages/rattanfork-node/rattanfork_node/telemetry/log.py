"""Structured lines for changes of state."""

import sys

from eliot import log_message, to_file


def start_log(target: str) -> None:
    """Send lines to standard output, standard error, nowhere, or the end of a file.

    Raises
    ======

    OSError
        If the file cannot be opened.
    """
    if target == "none":
        return
    if target == "stdout":
        to_file(sys.stdout)
    elif target == "stderr":
        to_file(sys.stderr)
    else:
        to_file(open(target, "a", buffering=1))  # noqa: SIM115


def log_change(what: str, **fields: object) -> None:
    """Log one change of state."""
    log_message(message_type=f"rattanfork:{what}", **fields)
