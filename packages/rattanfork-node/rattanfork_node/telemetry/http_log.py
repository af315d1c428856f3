"""Counts the errors that the HTTP server library logs."""

import logging

from rattanfork_node.telemetry.counters import Counters


class CountingHandler(logging.Handler):
    """Log handler that counts errors instead of writing them.

    Explanation
    ===========

    The library rejects requests that it cannot parse, and logs each with its bytes.
    Written out, any client could fill the log with arbitrary data.

    Examples
    ========

    >>> counters = Counters()
    >>> logger = counting_logger(counters)
    >>> logger.error("a bad request line")
    >>> counters.events["bad.http"]
    1
    """

    def __init__(self, counters: Counters) -> None:
        super().__init__(logging.DEBUG)
        self._counters = counters

    def emit(self, record: logging.LogRecord) -> None:
        """Count a record that has an exception or is at least a warning.

        The library logs some errors at debug level.
        """
        if record.exc_info or record.levelno >= logging.WARNING:
            self._counters.events["bad.http"] += 1


def counting_logger(counters: Counters) -> logging.Logger:
    """Return a logger for the HTTP library that only counts errors."""
    logger = logging.Logger("rattanfork.http", logging.DEBUG)
    logger.addHandler(CountingHandler(counters))
    return logger
