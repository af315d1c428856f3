"""The revision in force at one node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanfork_core.revision.record import RulesRecord

if TYPE_CHECKING:
    from rattanfork_core.rules import RuleSet

_NO_RULES = "rules: []"


class RevisionState:
    """Holds the highest accepted revision that the node has seen.

    Explanation
    ===========

    Revisions only rise here, whatever order they are heard in.  A fresh node
    holds none; it is *ready* once it has read the table, or once peers in
    enough data centres have told it what they hold: one data centre alone
    may have been cut off when the last change was accepted, and a node that
    believed it would bring old rules back.

    Parameters
    ==========

    data_centres_needed : int
        Data centres whose word replaces the table's.

    Examples
    ========

    >>> state = RevisionState(data_centres_needed=2)
    >>> text = "rules: [{name: a, then: {importance: high}}]"
    >>> state.receive_from_peer("dc1", RulesRecord(2, "op", "ann", "", text))
    True
    >>> state.ready
    False
    >>> state.receive_from_peer("dc2", None)
    False
    >>> state.ready, state.revision
    (True, 2)
    >>> state.receive_from_store(RulesRecord(1, "op", "ann", "", "rules: []"))
    False
    """

    def __init__(self, data_centres_needed: int = 2) -> None:
        self._needed = data_centres_needed
        self._record = RulesRecord(0, "", "", "", "")
        self._rules: RuleSet | None = None
        self._heard: set[str] = set()
        self._ready = False

    @property
    def revision(self) -> int:
        """Number of the revision in force."""
        return self._record.revision

    @property
    def order(self) -> int:
        """Its place among all revisions that were ever accepted."""
        return self._record.order

    @property
    def record(self) -> RulesRecord:
        """The revision in force."""
        return self._record

    @property
    def rules(self) -> RuleSet:
        """The rules in force."""
        if self._rules is None:
            self._rules = _load(_NO_RULES, "no rules")
        return self._rules

    @property
    def ready(self) -> bool:
        """Whether the node may take work."""
        return self._ready

    def receive_from_store(
        self, record: RulesRecord | None, rules: RuleSet | None = None
    ) -> bool:
        """Take in what the table holds; return whether the rules changed.

        None stands for no rules, or for a revision that is held already.
        ``rules`` are the record's, if its text was read before.
        """
        self._ready = True
        return self._offer(record, rules)

    def receive_from_peer(
        self,
        data_centre: str,
        record: RulesRecord | None,
        rules: RuleSet | None = None,
    ) -> bool:
        """Take in what a ready peer holds; return whether the rules changed."""
        changed = self._offer(record, rules)
        self._heard.add(data_centre)
        if len(self._heard) >= self._needed:
            self._ready = True
        return changed

    def _offer(self, record: RulesRecord | None, rules: RuleSet | None) -> bool:
        if record is None or record.order <= self._record.order:
            return False
        self._rules = rules or _load(record.text, f"revision {record.revision}")
        self._record = record
        return True


def _load(text: str, name: str) -> RuleSet:
    # Imported late: checking documents takes a library of 20 MB, which a node
    # without rules never needs.
    from rattanfork_core.rules import load_rules

    return load_rules(text, name)
