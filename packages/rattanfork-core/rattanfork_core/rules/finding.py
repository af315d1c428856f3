"""Faults found in an operator's document."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault and its place.

    Examples
    ========

    >>> str(Finding("rules.yaml", 3, 5, "unknown key 'wen'"))
    "rules.yaml:3:5: unknown key 'wen'"
    """

    source: str
    line: int
    column: int
    message: str

    def __str__(self) -> str:
        return f"{self.source}:{self.line}:{self.column}: {self.message}"


class FindingsError(Exception):
    """A document has faults; all of them are carried along."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self._findings = findings

    @property
    def findings(self) -> list[Finding]:
        """All faults, in the order of their places."""
        return self._findings
