"""One line of a node's log."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

_PREFIX = "rattanfork:"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log.

    Parameters
    ==========

    at : float
        Time of day at the node, in seconds since 1970; nodes may differ.
    instance : str
        The node's instance; "" if the line does not say.
    kind : str
        What happened.
    request_id : str
        The request that it is about, or "".
    fields : dict
        All else.
    """

    at: float
    instance: str
    kind: str
    request_id: str = ""
    fields: dict[str, Any] = field(default_factory=dict)

    def get(self, name: str, default: object = "") -> Any:
        """Return a field."""
        return self.fields.get(name, default)


def parse_line(text: str) -> LogLine | None:
    """Return the line of a text, or None if it is not one of a node.

    Whatever stands before the first brace is passed over: collectors put the
    name of a host or a time of their own there.

    Examples
    ========

    >>> line = parse_line('n1| {"timestamp": 2.5, "message_type": '
    ...                   '"rattanfork:run", "instance": "n1", "id": "r"}')
    >>> line.kind, line.request_id
    ('run', 'r')
    >>> parse_line("not a line") is None
    True
    """
    _, brace, rest = text.partition("{")
    try:
        record = json.loads(brace + rest)
    except ValueError:
        return None
    if not isinstance(record, dict):
        return None
    kind = record.pop("message_type", "")
    at = record.pop("timestamp", None)
    if not isinstance(kind, str) or not kind.startswith(_PREFIX):
        return None
    if not isinstance(at, int | float):
        return None
    for name in ("task_uuid", "task_level"):
        record.pop(name, None)
    instance = str(record.pop("instance", ""))
    request_id = str(record.pop("id", ""))
    return LogLine(float(at), instance, kind.removeprefix(_PREFIX), request_id, record)


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of nodes among some texts."""
    for text in texts:
        line = parse_line(text)
        if line is not None:
            yield line
