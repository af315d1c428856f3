"""At most once: keys that one guard alone may run, and proofs of not run."""

from rattanfork_core.atmostonce.connection import ConnectionLedger
from rattanfork_core.atmostonce.ledger import RunLedger
from rattanfork_core.atmostonce.record import RunRecord, RunState
from rattanfork_core.atmostonce.ticket import Ticket, TicketError, TicketMint
from rattanfork_core.atmostonce.verdicts import (
    AlreadyAnswered,
    JoinRunning,
    RefuseKey,
    RunNow,
)

__all__ = [
    "AlreadyAnswered",
    "ConnectionLedger",
    "JoinRunning",
    "RefuseKey",
    "RunLedger",
    "RunNow",
    "RunRecord",
    "RunState",
    "Ticket",
    "TicketError",
    "TicketMint",
]
