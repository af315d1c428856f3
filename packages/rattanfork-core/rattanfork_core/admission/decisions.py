"""What admission decides."""

from dataclasses import dataclass

from rattanfork_core.admission.waiter import Waiter
from rattanfork_core.request.outcome import Reason


@dataclass(frozen=True, slots=True)
class Start:
    """Hand the request to the upstream now."""

    waiter: Waiter


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the request now: it is not run."""

    waiter: Waiter
    reason: Reason


Decision = Start | Refuse
