"""What a rule does."""

from dataclasses import dataclass

from rattanfork_core.request.importance import Importance
from rattanfork_core.rules.document import ActionModel


@dataclass(frozen=True, slots=True)
class Action:
    """What is done with a request; None leaves the default.

    Parameters
    ==========

    refuse_after : float or None
        Refuse; the caller should come back after this many seconds.
    rate : float or None
        Requests let through each second at each node.
    rate_per_caller : bool
        Whether each caller has a rate of its own.
    deadline : float or None
        Most seconds the request may take.
    attempts : int or None
        Extra attempts granted to the whole tree of calls.
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
        """Return the action a document states."""
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
