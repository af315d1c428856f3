"""How the quarantine is kept in the store."""

from collections.abc import Iterable

from rattanfork_core.quarantine.report import CrashReport

#: Fingerprints in one row, so that it stays well below the longest.
_MOST_KEPT = 1000
_FIELD = "crashes"


def to_row(reports: Iterable[CrashReport], now: int) -> dict[str, list]:
    """Return the value of a row that holds some reports.

    Parameters
    ==========

    reports : iterable of CrashReport
        What is known of the requests that are quarantined.
    now : int
        Time of day in Unix milliseconds.

    Examples
    ========

    >>> row = to_row([CrashReport(255, 500, (1,))], now=2000)
    >>> row
    {'crashes': [['ff', 1500, ['1']]]}
    >>> from_row(row, now=2600)
    [CrashReport(incarnation=255, age=1100, fingerprints=(1,))]
    """
    kept: list[list] = []
    room = _MOST_KEPT
    for incarnation, age, fingerprints in reports:
        chosen = fingerprints[:room]
        room -= len(chosen)
        if chosen:
            texts = [f"{fingerprint:x}" for fingerprint in chosen]
            kept.append([f"{incarnation:x}", now - age, texts])
    return {_FIELD: kept}


def from_row(value: object, now: int) -> list[CrashReport]:
    """Return the reports in the value of a row.

    Parameters
    ==========

    value : object
        The decoded value.
    now : int
        Time of day in Unix milliseconds; one that is behind the writer's makes
        reports younger than they are.

    Raises
    ======

    ValueError
        If the value does not hold reports.
    """
    if not isinstance(value, dict) or not isinstance(value.get(_FIELD), list):
        raise ValueError("not a record of the quarantine")
    return [_read_report(fields, now) for fields in value[_FIELD]]


def _read_report(fields: object, now: int) -> CrashReport:
    if not isinstance(fields, list) or len(fields) != len(CrashReport._fields):
        raise ValueError("record of the quarantine: three fields expected")
    incarnation, ended, texts = fields
    if type(ended) is not int or not isinstance(texts, list):
        raise ValueError("record of the quarantine: time and list expected")
    try:
        fingerprints = [int(text, 16) for text in texts]
        number = int(incarnation, 16)
    except TypeError:
        raise ValueError("record of the quarantine: texts expected") from None
    return CrashReport.from_fields((number, max(0, now - ended), fingerprints))
