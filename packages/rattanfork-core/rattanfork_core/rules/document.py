"""The YAML document of rules, as operators write it."""

from typing import Annotated, Self

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

from rattanfork_core.request.importance import Importance


def _as_list(value: object) -> object:
    return [value] if isinstance(value, str) else value


def _known_importance(value: object) -> object:
    return Importance.parse(value).label if isinstance(value, str) else value


Names = Annotated[list[str], BeforeValidator(_as_list)]
ImportanceName = Annotated[str, BeforeValidator(_known_importance)]
ImportanceNames = Annotated[list[ImportanceName], BeforeValidator(_as_list)]


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ConditionModel(_Strict):
    """``when``: all that are given must hold; a list holds if one entry does."""

    service: Names = []
    operation: Names = []
    caller: Names = []
    method: Names = []
    data_centre: Names = []
    importance: ImportanceNames = []
    load_above: float | None = Field(None, ge=0, le=1)
    load_below: float | None = Field(None, ge=0, le=1)
    attempt_above: int | None = Field(None, ge=0, le=1000)

    @model_validator(mode="after")
    def _loads_overlap(self) -> Self:
        low, high = self.load_above, self.load_below
        if low is not None and high is not None and low >= high:
            raise ValueError("load_above must be less than load_below")
        return self


class RefuseModel(_Strict):
    """Refuse the request at once."""

    retry_after: float = Field(1.0, ge=0, le=3600)


class LimitModel(_Strict):
    """Let only so many requests through each second at each node."""

    rate: float = Field(gt=0, le=1e6)
    per: str = Field("rule", pattern="^(rule|caller)$")


class ActionModel(_Strict):
    """``then``: what is done with a matching request."""

    importance: ImportanceName | None = None
    refuse: RefuseModel | None = None
    limit: LimitModel | None = None
    deadline: float | None = Field(None, gt=0, le=600)
    attempts: int | None = Field(None, ge=0, le=10)
    idempotent: bool | None = None
    data_centre: str | None = None

    @model_validator(mode="after")
    def _refusal_stands_alone(self) -> Self:
        others = (self.limit, self.deadline, self.attempts, self.data_centre)
        if self.refuse is not None and any(v is not None for v in others):
            raise ValueError("a refused request takes no other action")
        return self


class RuleModel(_Strict):
    """One rule."""

    name: str = Field(min_length=1, max_length=100)
    when: ConditionModel = ConditionModel()
    then: ActionModel


class ObjectiveModel(_Strict):
    """A service-level objective: share of whole requests answered in time."""

    service: str
    importance: ImportanceName | None = None
    target: float = Field(gt=0, lt=1)


class RulesDocument(_Strict):
    """A whole document of rules."""

    rules: list[RuleModel] = Field(default=[], max_length=5000)
    objectives: list[ObjectiveModel] = []

    @model_validator(mode="after")
    def _names_differ(self) -> Self:
        seen: set[str] = set()
        doubled = set()
        for rule in self.rules:
            (doubled if rule.name in seen else seen).add(rule.name)
        if doubled:
            raise ValueError(f"rule names stand twice: {', '.join(sorted(doubled))}")
        return self
