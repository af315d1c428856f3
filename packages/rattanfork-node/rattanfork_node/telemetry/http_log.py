"""What the HTTP library logs, as a count."""

import logging

from rattanfork_node.telemetry.counters import Counters


class CountingHandler(logging.Handler):
    """Counts records instead of writing lines.

    Explanation
    ===========

    The library answers requests that it cannot parse by itself, and logs each
    with its bytes: a stranger could fill the log with what it likes.

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
        """Count a record of an error; some of those are logged as debug."""
        if record.exc_info or record.levelno >= logging.WARNING:
            self._counters.events["bad.http"] += 1


def counting_logger(counters: Counters) -> logging.Logger:
    """Return a logger that counts errors."""
    logger = logging.Logger("rattanfork.http", logging.DEBUG)
    logger.addHandler(CountingHandler(counters))
    return logger
