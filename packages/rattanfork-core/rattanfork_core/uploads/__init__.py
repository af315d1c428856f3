"""Large request bodies: when one may be read, and when its request is refused."""

from rattanfork_core.uploads.body_budget import BodyBudget, Reservation
from rattanfork_core.uploads.body_intake import (
    LARGE_BODY_BYTES,
    MAX_UNCOUNTED_BODY_BYTES,
    BodyIntake,
    IntakeState,
    is_large_body,
)
from rattanfork_core.uploads.drain_bound import DrainBound

__all__ = [
    "LARGE_BODY_BYTES",
    "MAX_UNCOUNTED_BODY_BYTES",
    "BodyBudget",
    "BodyIntake",
    "DrainBound",
    "IntakeState",
    "Reservation",
    "is_large_body",
]
