"""Ordered rules, indexed for matching."""

from rattanfork_core.rules.document import ObjectiveModel, RulesDocument
from rattanfork_core.rules.facts import RequestFacts
from rattanfork_core.rules.rule import Rule

#: Maximum entries of each index; the keys come from requests and are unbounded.
_MAX_INDEX_ENTRIES = 4096
#: Number of candidate rules up to which the second index is not used.
_MAX_LINEAR_RULES = 4


class RuleSet:
    """An immutable, ordered set of rules.

    Explanation
    ===========

    An index holds the candidate rules of each pair of service and operation, so that
    a request is compared with few rules.  If there are many candidates, a second index
    narrows them by all properties of the request except load and attempt.

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
        self._request_index: dict[tuple, tuple[Rule, ...]] = {}

    @property
    def rules(self) -> tuple[Rule, ...]:
        """All rules, in order."""
        return self._rules

    @property
    def objectives(self) -> list[ObjectiveModel]:
        """The service-level objectives."""
        return self._document.objectives

    def first_match(self, facts: RequestFacts) -> Rule | None:
        """Return the first rule that matches the request, if any."""
        key = (facts.service, facts.operation)
        candidates = self._index.get(key)
        if candidates is None:
            candidates = self._service_candidates(key)
        if len(candidates) > _MAX_LINEAR_RULES:
            candidates = self._request_candidates(facts, candidates)
        for rule in candidates:
            if rule.condition.matches(facts):
                return rule
        return None

    def _service_candidates(self, key: tuple[str, str]) -> tuple[Rule, ...]:
        service, operation = key
        candidates = tuple(
            rule
            for rule in self._rules
            if rule.condition.service.matches(service)
            and rule.condition.operation.matches(operation)
        )
        if len(self._index) >= _MAX_INDEX_ENTRIES:
            self._index.clear()
        self._index[key] = candidates
        return candidates

    def _request_candidates(
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
        matching = self._request_index.get(key)
        if matching is None:
            matching = tuple(r for r in candidates if r.condition.may_match(facts))
            if len(self._request_index) >= _MAX_INDEX_ENTRIES:
                self._request_index.clear()
            self._request_index[key] = matching
        return matching
