"""The condition of a rule."""

from collections.abc import Iterator
from dataclasses import dataclass
from fnmatch import translate
from re import Pattern
from re import compile as compile_pattern

from rattanfork_core.request.importance import Importance
from rattanfork_core.rules.document import ConditionModel
from rattanfork_core.rules.facts import RequestFacts

_WILDCARDS = frozenset("*?[")


@dataclass(frozen=True, slots=True)
class NameSet:
    """Names and wildcard patterns; an empty set matches every name."""

    exact: frozenset[str]
    patterns: tuple[Pattern[str], ...]

    @classmethod
    def of(cls, names: list[str]) -> "NameSet":
        """Return the set of the given names and patterns."""
        patterns = [name for name in names if _WILDCARDS & set(name)]
        exact = frozenset(names) - frozenset(patterns)
        return cls(exact, tuple(compile_pattern(translate(name)) for name in patterns))

    @property
    def matches_all(self) -> bool:
        """Whether the set is empty and so matches every name."""
        return not self.exact and not self.patterns

    def matches(self, name: str) -> bool:
        """Return whether the name matches."""
        if name in self.exact or self.matches_all:
            return True
        return any(pattern.match(name) for pattern in self.patterns)


@dataclass(frozen=True, slots=True)
class Condition:
    """The conjunction of a rule's criteria; an empty criterion matches everything.

    Examples
    ========

    >>> condition = Condition.of(ConditionModel(service=["receipts"]))
    >>> condition.matches(RequestFacts("receipts", "browse"))
    True
    >>> list(condition.mismatches(RequestFacts("claims", "file")))
    ["service is 'claims'"]
    """

    service: NameSet
    operation: NameSet
    caller: NameSet
    method: NameSet
    data_centre: NameSet
    importance: frozenset[Importance]
    load_above: float | None
    load_below: float | None
    attempt_above: int | None

    @classmethod
    def of(cls, model: ConditionModel) -> "Condition":
        """Return the condition of a validated document."""
        return cls(
            NameSet.of(model.service),
            NameSet.of(model.operation),
            NameSet.of(model.caller),
            NameSet.of([method.upper() for method in model.method]),
            NameSet.of(model.data_centre),
            frozenset(Importance.parse(name) for name in model.importance),
            model.load_above,
            model.load_below,
            model.attempt_above,
        )

    def matches(self, facts: RequestFacts) -> bool:
        """Return whether a request meets all criteria."""
        return next(self.mismatches(facts), None) is None

    def may_match(self, facts: RequestFacts) -> bool:
        """Return whether a request meets all criteria except load and attempt."""
        return (
            self.service.matches(facts.service)
            and self.operation.matches(facts.operation)
            and self.caller.matches(facts.caller)
            and self.method.matches(facts.method)
            and self.data_centre.matches(facts.data_centre)
            and (not self.importance or facts.importance in self.importance)
        )

    def mismatches(self, facts: RequestFacts) -> Iterator[str]:
        """Yield a text for each criterion that a request does not meet."""
        if not self.service.matches(facts.service):
            yield f"service is {facts.service!r}"
        if not self.operation.matches(facts.operation):
            yield f"operation is {facts.operation!r}"
        if not self.caller.matches(facts.caller):
            yield f"caller is {facts.caller!r}"
        if not self.method.matches(facts.method):
            yield f"method is {facts.method!r}"
        if not self.data_centre.matches(facts.data_centre):
            yield f"data centre is {facts.data_centre!r}"
        if self.importance and facts.importance not in self.importance:
            yield f"importance is {facts.importance.label!r}"
        if self.load_above is not None and not facts.load > self.load_above:
            yield f"load is {facts.load:.2f}, not above {self.load_above:g}"
        if self.load_below is not None and not facts.load < self.load_below:
            yield f"load is {facts.load:.2f}, not below {self.load_below:g}"
        if self.attempt_above is not None and not facts.attempt > self.attempt_above:
            yield f"attempt is {facts.attempt}, not above {self.attempt_above}"
