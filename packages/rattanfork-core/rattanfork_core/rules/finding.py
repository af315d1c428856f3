"""Validation errors of an operator's document, with their positions."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """A validation error at a line and column.

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
    """A document is invalid; holds every error found."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self._findings = findings

    @property
    def findings(self) -> list[Finding]:
        """All errors, ordered by position."""
        return self._findings
