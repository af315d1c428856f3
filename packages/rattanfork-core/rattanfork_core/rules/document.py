"""Models of the YAML document in which operators write rules and objectives."""

from typing import Annotated, Self

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

from rattanfork_core.request.importance import Importance


def _as_list(value: object) -> object:
    return [value] if isinstance(value, str) else value


def _importance_label(value: object) -> object:
    return Importance.parse(value).label if isinstance(value, str) else value


Names = Annotated[list[str], BeforeValidator(_as_list)]
ImportanceName = Annotated[str, BeforeValidator(_importance_label)]
ImportanceNames = Annotated[list[ImportanceName], BeforeValidator(_as_list)]


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class ConditionModel(_Strict):
    """``when``: all given criteria must match; a list matches if any entry does."""

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
    def _check_load_range(self) -> Self:
        low, high = self.load_above, self.load_below
        if low is not None and high is not None and low >= high:
            raise ValueError("load_above must be less than load_below")
        return self


class RefuseModel(_Strict):
    """``refuse``: refuse the request without forwarding it."""

    retry_after: float = Field(1.0, ge=0, le=3600)


class LimitModel(_Strict):
    """``limit``: maximum requests per second at each node, per rule or caller."""

    rate: float = Field(gt=0, le=1e6)
    per: str = Field("rule", pattern="^(rule|caller)$")


class ActionModel(_Strict):
    """``then``: the changes made to a matching request."""

    importance: ImportanceName | None = None
    refuse: RefuseModel | None = None
    limit: LimitModel | None = None
    deadline: float | None = Field(None, gt=0, le=600)
    attempts: int | None = Field(None, ge=0, le=10)
    idempotent: bool | None = None
    data_centre: str | None = None

    @model_validator(mode="after")
    def _check_refusal(self) -> Self:
        others = (self.limit, self.deadline, self.attempts, self.data_centre)
        if self.refuse is not None and any(v is not None for v in others):
            raise ValueError(
                "refuse must be without limit, deadline, attempts and data_centre"
            )
        return self


class RuleModel(_Strict):
    """A rule: its name, condition and action."""

    name: str = Field(min_length=1, max_length=100)
    when: ConditionModel = ConditionModel()
    then: ActionModel


class ObjectiveModel(_Strict):
    """Service-level objective: the fraction of callers' requests answered in time."""

    service: str
    importance: ImportanceName | None = None
    target: float = Field(gt=0, lt=1)


class RulesDocument(_Strict):
    """The rules in order of precedence, and the service-level objectives."""

    rules: list[RuleModel] = Field(default=[], max_length=5000)
    objectives: list[ObjectiveModel] = []

    @model_validator(mode="after")
    def _check_names(self) -> Self:
        seen: set[str] = set()
        duplicates = set()
        for rule in self.rules:
            (duplicates if rule.name in seen else seen).add(rule.name)
        if duplicates:
            raise ValueError(f"duplicate rule names: {', '.join(sorted(duplicates))}")
        return self
