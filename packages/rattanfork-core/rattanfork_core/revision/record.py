"""One accepted revision of the rules."""

from dataclasses import dataclass

HEAD_KEY = "rules/head"
#: Revisions in one era.
_SPAN = 1 << 32


def history_key(revision: int) -> str:
    """Return the table key of a past revision.

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
        Number of the revision; 0 stands for no rules at all.
    operation : str
        ID of the change that made it.
    author : str
        Who made it.
    comment : str
        Why.
    text : str
        The whole YAML document.
    era : int
        How often the store had been restored from a copy when it accepted this
        revision.  Numbers that were lost with a restore are given out again.

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
        """Place among all revisions that were ever accepted; a later one is higher."""
        return self.era * _SPAN + self.revision

    def as_row(self) -> dict[str, object]:
        """Return the record as a row of the table."""
        return {
            "revision": self.revision,
            "operation": self.operation,
            "author": self.author,
            "comment": self.comment,
            "text": self.text,
            "era": self.era,
        }

    @classmethod
    def from_row(cls, row: object) -> "RulesRecord":
        """Return the record of a row.

        Raises
        ======

        ValueError
            If the row is not one of a rules record.
        """
        if not isinstance(row, dict):
            raise ValueError("rules row: a map is expected")
        revision, era = row.get("revision"), row.get("era", 0)
        texts = [row.get(k) for k in ("operation", "author", "comment", "text")]
        numbers = type(revision) is int and type(era) is int and era >= 0
        if not numbers or not all(isinstance(t, str) for t in texts):
            raise ValueError("rules row: fields missing or of a wrong type")
        return cls(revision, *texts, era)
