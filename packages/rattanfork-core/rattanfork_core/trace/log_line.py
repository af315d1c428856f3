"""Parsing of a node's JSON log lines."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson

_PREFIX = "rattanfork:"


@dataclass(frozen=True, slots=True)
class LogLine:
    """A parsed line of a node's log.

    Parameters
    ==========

    at : float
        Wall-clock time at the node, in seconds since 1970; clocks of nodes may differ.
    instance : str
        The node's instance; "" if the line has none.
    kind : str
        The event.
    request_id : str
        The request that the event belongs to, or "".
    fields : dict
        All other fields.
    """

    at: float
    instance: str
    kind: str
    request_id: str = ""
    fields: dict[str, Any] = field(default_factory=dict)

    def get(self, name: str, default: object = "") -> Any:
        """Return the value of a field, or the default."""
        return self.fields.get(name, default)


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if no node wrote it.

    Text before the first brace is ignored, since log collectors prepend a host name
    or a time there.

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
    if not brace:
        return None
    record = _load_json(brace + rest)
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


def _load_json(text: str) -> object:
    """Return the value of a JSON text, or None if it is malformed."""
    try:
        return orjson.loads(text)
    except ValueError:
        pass
    # The standard library also accepts NaN, Infinity and unpaired surrogates.
    try:
        return json.loads(text)
    except ValueError:
        return None


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines, and skip those that no node wrote."""
    for text in texts:
        line = parse_line(text)
        if line is not None:
            yield line
