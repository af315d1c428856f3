"""Encoding of the quarantine as a row of the store."""

from collections.abc import Iterable

from rattanfork_core.quarantine.report import CrashReport

#: Limit that keeps a row well below the store's maximum row size.
_MAX_FINGERPRINTS_PER_ROW = 1000
_FIELD = "crashes"


def to_row(reports: Iterable[CrashReport], now: int) -> dict[str, list]:
    """Return the value of a row that holds crash reports.

    Parameters
    ==========

    reports : iterable of CrashReport
        The reports on quarantined requests.
    now : int
        Current Unix time in milliseconds.

    Examples
    ========

    >>> row = to_row([CrashReport(255, 500, (1,))], now=2000)
    >>> row
    {'crashes': [['ff', 1500, ['1']]]}
    >>> from_row(row, now=2600)
    [CrashReport(incarnation=255, age=1100, fingerprints=(1,))]
    """
    crashes: list[list] = []
    capacity = _MAX_FINGERPRINTS_PER_ROW
    for incarnation, age, fingerprints in reports:
        chosen = fingerprints[:capacity]
        capacity -= len(chosen)
        if chosen:
            hex_fingerprints = [f"{fingerprint:x}" for fingerprint in chosen]
            crashes.append([f"{incarnation:x}", now - age, hex_fingerprints])
    return {_FIELD: crashes}


def from_row(value: object, now: int) -> list[CrashReport]:
    """Return the crash reports in the value of a row.

    Parameters
    ==========

    value : object
        The decoded value.
    now : int
        Current Unix time in milliseconds.  If this clock is behind the writer's,
        reports seem more recent than they are.

    Raises
    ======

    ValueError
        If the value does not hold crash reports.
    """
    if not isinstance(value, dict) or not isinstance(value.get(_FIELD), list):
        raise ValueError(
            "record of the quarantine: map with a list of crashes expected"
        )
    return [_report_from_fields(fields, now) for fields in value[_FIELD]]


def _report_from_fields(fields: object, now: int) -> CrashReport:
    if not isinstance(fields, list) or len(fields) != len(CrashReport._fields):
        raise ValueError(
            "record of the quarantine: list of three fields expected for each crash"
        )
    hex_incarnation, crashed_at, hex_fingerprints = fields
    if type(crashed_at) is not int or not isinstance(hex_fingerprints, list):
        raise ValueError(
            "record of the quarantine: crash time and list of fingerprints expected"
        )
    try:
        fingerprints = [int(text, 16) for text in hex_fingerprints]
        incarnation = int(hex_incarnation, 16)
    except TypeError:
        raise ValueError(
            "record of the quarantine: hexadecimal strings expected"
        ) from None
    return CrashReport.from_fields(
        (incarnation, max(0, now - crashed_at), fingerprints)
    )
