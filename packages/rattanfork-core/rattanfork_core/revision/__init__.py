"""Revisions of the rules and configuration that are applied to requests."""

from rattanfork_core.revision.commit import (
    CommitMachine,
    CommitOutcome,
    CommitStatus,
    ReadRow,
    TryCommit,
)
from rattanfork_core.revision.confirmation_schedule import ConfirmationSchedule
from rattanfork_core.revision.lease import ConfigurationLease
from rattanfork_core.revision.poll_schedule import PollSchedule
from rattanfork_core.revision.record import RulesRecord
from rattanfork_core.revision.state import RevisionState

__all__ = [
    "CommitMachine",
    "CommitOutcome",
    "CommitStatus",
    "ConfigurationLease",
    "ConfirmationSchedule",
    "ReadRow",
    "PollSchedule",
    "RevisionState",
    "RulesRecord",
    "TryCommit",
]
