"""Structured lines for changes of state."""

import os

from eliot import add_destinations, add_global_fields, log_message

from rattanfork_node.telemetry.writer import LineWriter

_DESCRIPTORS = {"none": None, "stdout": 1, "stderr": 2}


def start_log(target: str, instance: str) -> LineWriter:
    """Send lines to standard output, standard error, nowhere, or the end of a file.

    Parameters
    ==========

    target : str
        ``stdout``, ``stderr``, ``none`` or the path of a file.
    instance : str
        Named on each line.

    Raises
    ======

    OSError
        If the file cannot be opened.
    """
    if target in _DESCRIPTORS:
        writer = LineWriter(_DESCRIPTORS[target])
    else:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        writer = LineWriter(os.open(target, flags, 0o644))
    add_destinations(writer.write_now)
    add_global_fields(instance=instance)
    return writer


def log_change(what: str, **fields: object) -> None:
    """Log one change of state."""
    log_message(message_type=f"rattanfork:{what}", **fields)
