"""Decisions of the admission controller, for its caller to carry out."""

from dataclasses import dataclass

from rattanfork_core.admission.waiter import Waiter
from rattanfork_core.request.outcome import Reason


@dataclass(frozen=True, slots=True)
class Start:
    """Send the request to the upstream now."""

    waiter: Waiter


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request now: it has not run and will not."""

    waiter: Waiter
    reason: Reason


Decision = Start | Refuse
