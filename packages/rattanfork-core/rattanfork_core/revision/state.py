"""Revision of the rules that one node applies to requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanfork_core.revision.record import RulesRecord

if TYPE_CHECKING:
    from rattanfork_core.rules import RuleSet

_NO_RULES = "rules: []"
_MAX_ERROR_CHARACTERS = 500


class RevisionState:
    """Holds the newest accepted revision that the node has received.

    Explanation
    ===========

    Revisions may be received in any order, and an older one never replaces a newer
    one.  A node starts without rules.  It is *ready* once it has read the table of
    rules in the store, or once peers in enough data centres have sent their
    revisions.  A single data centre may have been partitioned off when the last
    change was accepted, and a node that trusted it alone would apply outdated rules.

    Parameters
    ==========

    data_centres_needed : int
        Number of data centres whose peers make a node ready without the table.

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
        self._data_centres_needed = data_centres_needed
        self._record = RulesRecord(0, "", "", "", "")
        self._rules: RuleSet | None = None
        self._data_centres: set[str] = set()
        self._ready = False

    @property
    def revision(self) -> int:
        """Number of the revision in force; 0 while there is none."""
        return self._record.revision

    @property
    def order(self) -> int:
        """Sort key of the revision in force, see :attr:`RulesRecord.order`."""
        return self._record.order

    @property
    def record(self) -> RulesRecord:
        """The revision in force."""
        return self._record

    @property
    def rules(self) -> RuleSet:
        """The rules in force."""
        if self._rules is None:
            self._rules = _parse(_NO_RULES, "no rules")
        return self._rules

    @property
    def ready(self) -> bool:
        """Whether the node has revisions from the store or enough data centres."""
        return self._ready

    def receive_from_store(
        self, record: RulesRecord | None, rules: RuleSet | None = None
    ) -> bool:
        """Apply the table's revision if it is newer; return whether it was.

        ``record`` is None if the table has no rules, or only the revision in force.
        ``rules`` are the parsed rules of the record, if the caller has them.

        Raises
        ======

        ValueError
            If the text of the record is malformed.
        """
        self._ready = True
        return self._apply_if_newer(record, rules)

    def receive_from_peer(
        self,
        data_centre: str,
        record: RulesRecord | None,
        rules: RuleSet | None = None,
    ) -> bool:
        """Apply a ready peer's revision if it is newer; return whether it was."""
        changed = self._apply_if_newer(record, rules)
        self._data_centres.add(data_centre)
        if len(self._data_centres) >= self._data_centres_needed:
            self._ready = True
        return changed

    def _apply_if_newer(
        self, record: RulesRecord | None, rules: RuleSet | None
    ) -> bool:
        if record is None or record.order <= self._record.order:
            return False
        self._rules = rules or _parse(record.text, f"revision {record.revision}")
        self._record = record
        return True


def _parse(text: str, name: str) -> RuleSet:
    # Imported here: validation of rules loads a library of 20 MB, which a node
    # without rules does not need.
    from rattanfork_core.rules import FindingsError, load_rules

    try:
        return load_rules(text, name)
    except (FindingsError, RecursionError) as error:
        raise ValueError(f"{name}: {str(error)[:_MAX_ERROR_CHARACTERS]}") from error
