"""Detection and refusal of requests that crash the upstreams that run them."""

from rattanfork_core.quarantine.quarantine import Quarantine
from rattanfork_core.quarantine.record import from_row, to_row
from rattanfork_core.quarantine.report import (
    CrashReport,
    SuccessReport,
    incarnation_hash,
)
from rattanfork_core.quarantine.suspects import SuspectTracker

__all__ = [
    "CrashReport",
    "SuspectTracker",
    "Quarantine",
    "SuccessReport",
    "from_row",
    "incarnation_hash",
    "to_row",
]
