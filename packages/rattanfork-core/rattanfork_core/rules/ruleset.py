"""Rules in their order, indexed."""

from rattanfork_core.rules.document import ObjectiveModel, RulesDocument
from rattanfork_core.rules.facts import RequestFacts
from rattanfork_core.rules.rule import Rule

#: Services and operations come from URLs: the index must stay bounded.
_MOST_INDEXED = 4096
#: Rules that are compared one by one without narrowing them further.
_FEW = 4


class RuleSet:
    """An immutable, ordered set of rules.

    Explanation
    ===========

    Rules whose service and operation cannot match are left out once for each
    pair of service and operation, so that a request is only compared with
    the few that may hold.

    Examples
    ========

    >>> document = RulesDocument.model_validate({"rules": [
    ...     {"name": "browse", "when": {"service": "receipts"},
    ...      "then": {"importance": "low"}}]})
    >>> rules = RuleSet(document)
    >>> rules.first_match(RequestFacts("receipts", "browse")).name
    'browse'
    >>> rules.first_match(RequestFacts("claims", "file")) is None
    True
    """

    def __init__(self, document: RulesDocument) -> None:
        self._document = document
        self._rules = tuple(Rule.of(model) for model in document.rules)
        self._index: dict[tuple[str, str], tuple[Rule, ...]] = {}
        self._fine_index: dict[tuple, tuple[Rule, ...]] = {}

    @property
    def rules(self) -> tuple[Rule, ...]:
        """All rules, in order."""
        return self._rules

    @property
    def objectives(self) -> list[ObjectiveModel]:
        """The service-level objectives."""
        return self._document.objectives

    def first_match(self, facts: RequestFacts) -> Rule | None:
        """Return the rule that decides the request, if any."""
        key = (facts.service, facts.operation)
        candidates = self._index.get(key)
        if candidates is None:
            candidates = self._narrow(key)
        if len(candidates) > _FEW:
            candidates = self._narrow_further(facts, candidates)
        for rule in candidates:
            if rule.condition.matches(facts):
                return rule
        return None

    def _narrow(self, key: tuple[str, str]) -> tuple[Rule, ...]:
        service, operation = key
        candidates = tuple(
            rule
            for rule in self._rules
            if rule.condition.service.matches(service)
            and rule.condition.operation.matches(operation)
        )
        if len(self._index) >= _MOST_INDEXED:
            self._index.clear()
        self._index[key] = candidates
        return candidates

    def _narrow_further(
        self, facts: RequestFacts, candidates: tuple[Rule, ...]
    ) -> tuple[Rule, ...]:
        key = (
            facts.service,
            facts.operation,
            facts.caller,
            facts.method,
            facts.data_centre,
            facts.importance,
        )
        narrow = self._fine_index.get(key)
        if narrow is None:
            narrow = tuple(r for r in candidates if r.condition.may_match(facts))
            if len(self._fine_index) >= _MOST_INDEXED:
                self._fine_index.clear()
            self._fine_index[key] = narrow
        return narrow
