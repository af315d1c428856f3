"""One accepted revision of the rules."""

from dataclasses import dataclass

#: Key of the row that names the newest revision.
HEAD_KEY = "rules/head"
#: Fields of a row, and of a reply that holds the rules.
ROW_FIELDS = ("revision", "operation", "author", "comment", "text", "era")
#: Factor of the era in the order of revisions; above any revision number.
_REVISIONS_PER_ERA = 1 << 32
#: Largest number of eras, so that messages can carry the order of any revision.
_MAX_ERAS = 1 << 30


def history_key(revision: int) -> str:
    """Return the key of the history row of a revision.

    Examples
    ========

    >>> history_key(12)
    'rules/history/00000012'
    """
    return f"rules/history/{revision:08d}"


@dataclass(frozen=True, slots=True)
class RulesRecord:
    """One accepted revision of the rules.

    Parameters
    ==========

    revision : int
        Number of the revision; 0 if there are no rules.
    operation : str
        ID of the commit; distinguishes two changes made from the same revision.
    author : str
        Operator who made the change.
    comment : str
        Operator's comment on the change.
    text : str
        The rules as a YAML document; empty in the head row.
    era : int
        Number of times that the store had been restored from a backup when it
        accepted this revision.  A restored store reuses the revision numbers that
        the backup does not contain.

    Examples
    ========

    >>> lost = RulesRecord(7, "op1", "ann", "", "rules: []", era=1)
    >>> after = RulesRecord(5, "op2", "ann", "", "rules: []", era=2)
    >>> after.order > lost.order
    True
    """

    revision: int
    operation: str
    author: str
    comment: str
    text: str
    era: int = 0

    @property
    def order(self) -> int:
        """Sort key of all revisions ever accepted: by era, then by number."""
        return self.era * _REVISIONS_PER_ERA + self.revision

    def as_row(self) -> dict[str, object]:
        """Return the record as a row of the table."""
        return {name: getattr(self, name) for name in ROW_FIELDS}

    @classmethod
    def from_row(cls, row: object) -> "RulesRecord":
        """Return the record in a row of the table.

        Raises
        ======

        ValueError
            If the row is not a map, or a field is missing, of a wrong type or out of
            range.
        """
        if not isinstance(row, dict):
            raise ValueError("rules row: map expected")
        revision, era = row.get("revision"), row.get("era", 0)
        texts = [row.get(k) for k in ("operation", "author", "comment", "text")]
        numbers = (
            type(revision) is int
            and 0 <= revision < _REVISIONS_PER_ERA
            and type(era) is int
            and 0 <= era < _MAX_ERAS
        )
        if not numbers or not all(isinstance(t, str) for t in texts):
            raise ValueError(
                "rules row: integer revision and era from 0 to 2**32 - 1 and "
                "2**30 - 1, and four texts expected"
            )
        return cls(revision, *texts, era)
