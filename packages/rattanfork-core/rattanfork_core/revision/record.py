"""One accepted revision of the rules."""

from dataclasses import dataclass

HEAD_KEY = "rules/head"


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
    """

    revision: int
    operation: str
    author: str
    comment: str
    text: str

    def as_row(self) -> dict[str, object]:
        """Return the record as a row of the table."""
        return {
            "revision": self.revision,
            "operation": self.operation,
            "author": self.author,
            "comment": self.comment,
            "text": self.text,
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
        revision = row.get("revision")
        texts = [row.get(k) for k in ("operation", "author", "comment", "text")]
        if type(revision) is not int or not all(isinstance(t, str) for t in texts):
            raise ValueError("rules row: fields missing or of a wrong type")
        return cls(revision, *texts)
