"""Structured log lines for state changes of a node."""

import os

from eliot import add_destinations, add_global_fields, log_message

from rattanfork_node.telemetry.writer import LineWriter

_DESCRIPTORS = {"none": None, "stdout": 1, "stderr": 2}


def start_log(target: str, instance: str) -> LineWriter:
    """Open the log: standard output, standard error, a file to append to, or none.

    Parameters
    ==========

    target : str
        ``stdout``, ``stderr``, ``none`` or the path of a file.
    instance : str
        Name of the instance, added to each line.

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
    """Log a state change, such as ``started`` or ``draining``."""
    log_message(message_type=f"rattanfork:{what}", **fields)
