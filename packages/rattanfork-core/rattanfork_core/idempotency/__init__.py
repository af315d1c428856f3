"""Idempotency keys and fencing: a request runs at most once at its upstream."""

from rattanfork_core.idempotency.connection_call_log import ConnectionCallLog
from rattanfork_core.idempotency.key_registry import KeyRegistry
from rattanfork_core.idempotency.record import RunRecord, RunState
from rattanfork_core.idempotency.ticket import Ticket, TicketError, TicketIssuer
from rattanfork_core.idempotency.verdicts import (
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
