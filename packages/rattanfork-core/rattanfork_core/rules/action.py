"""The action of a rule."""

from dataclasses import dataclass

from rattanfork_core.request.importance import Importance
from rattanfork_core.rules.document import ActionModel


@dataclass(frozen=True, slots=True)
class Action:
    """Changes that a rule makes to a request; None keeps the default.

    Parameters
    ==========

    refuse_after : float or None
        Refuse the request, with this ``Retry-After`` in seconds.
    rate : float or None
        Requests allowed per second at each node.
    rate_per_caller : bool
        Whether the rate applies to each caller separately.
    deadline : float or None
        Maximum duration of the request, in seconds.
    attempts : int or None
        Extra attempts for the whole call tree.
    """

    importance: Importance | None = None
    refuse_after: float | None = None
    rate: float | None = None
    rate_per_caller: bool = False
    deadline: float | None = None
    attempts: int | None = None
    idempotent: bool | None = None
    data_centre: str | None = None

    @classmethod
    def of(cls, model: ActionModel) -> "Action":
        """Return the action of a validated document."""
        return cls(
            importance=Importance.parse(model.importance) if model.importance else None,
            refuse_after=model.refuse.retry_after if model.refuse else None,
            rate=model.limit.rate if model.limit else None,
            rate_per_caller=bool(model.limit and model.limit.per == "caller"),
            deadline=model.deadline,
            attempts=model.attempts,
            idempotent=model.idempotent,
            data_centre=model.data_centre,
        )
