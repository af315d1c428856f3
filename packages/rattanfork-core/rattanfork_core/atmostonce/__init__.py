"""At most once: keys that one guard alone may run, and proofs of not run."""

from rattanfork_core.atmostonce.connection import ConnectionCallLog
from rattanfork_core.atmostonce.ledger import KeyRegistry
from rattanfork_core.atmostonce.record import RunRecord, RunState
from rattanfork_core.atmostonce.ticket import Ticket, TicketError, TicketIssuer
from rattanfork_core.atmostonce.verdicts import (
    AlreadyAnswered,
    JoinRunning,
    RefuseKey,
    RunNow,
)

__all__ = [
    "AlreadyAnswered",
    "ConnectionCallLog",
    "JoinRunning",
    "RefuseKey",
    "KeyRegistry",
    "RunNow",
    "RunRecord",
    "RunState",
    "Ticket",
    "TicketError",
    "TicketIssuer",
]
