"""Encoding of learned dependencies as a row of the store."""

from collections.abc import Mapping

#: Operations in a row, so that it stays well below the store's maximum row size.
_MAX_OPERATIONS = 500
#: Services of one operation.
_MAX_SERVICES = 32
_FIELD = "operations"


def to_row(learned: Mapping[str, tuple[str, ...]]) -> dict[str, dict]:
    """Return the value of a row that holds the services of operations.

    Examples
    ========

    >>> row = to_row({"file/claims": ("donors",)})
    >>> row
    {'operations': {'file/claims': ['donors']}}
    >>> from_row(row)
    {'file/claims': ('donors',)}
    """
    chosen = sorted(learned)[:_MAX_OPERATIONS]
    return {_FIELD: {name: list(learned[name]) for name in chosen}}


def from_row(value: object) -> dict[str, tuple[str, ...]]:
    """Return the services of operations in the value of a row.

    Raises
    ======

    ValueError
        If the value does not hold services by operation.
    """
    operations = value.get(_FIELD) if isinstance(value, dict) else None
    if not isinstance(operations, dict) or len(operations) > _MAX_OPERATIONS:
        raise ValueError(
            f"record of dependencies: map of at most {_MAX_OPERATIONS} operations "
            "expected"
        )
    return {name: _services(name, names) for name, names in operations.items()}


def _services(operation: str, names: object) -> tuple[str, ...]:
    if (
        not isinstance(names, list)
        or len(names) > _MAX_SERVICES
        or not all(isinstance(name, str) for name in names)
    ):
        raise ValueError(
            f"record of dependencies: operation {operation!r}: list of at most "
            f"{_MAX_SERVICES} services expected"
        )
    return tuple(names)
