"""Datagrams with the demand of client accounts."""

from typing import NamedTuple

from rattanfork_core.request.importance import RANK_LIMIT

#: Most accounts in a report, and in the totals of one importance.  Totals of 96
#: accounts take at most 1,000 bytes, below the 1,400 that fit into a datagram.
MAX_REPORTED_ACCOUNTS = 16
MAX_LISTED_ACCOUNTS = 96
#: Exclusive bounds of the hash of an account and of a demand.
_HASH_LIMIT = 1 << 32
_DEMAND_LIMIT = 1 << 31
_SEQUENCE_LIMIT = 1 << 62
_MAX_NAME_CHARACTERS = 200
#: Unit of ``admitted``.
PER_MILLE = 1000

AccountDemand = tuple[int, int]


class DemandReport(NamedTuple):
    """Requests that an entry node received since its last report.

    Parameters
    ==========

    importance : int
        Importance of the requests.
    admitted : int
        Share of the requests of this importance that the lowest threshold admits, in
        thousandths.
    demands : tuple of pairs
        Hash of each account and the number of its requests.
    """

    importance: int
    admitted: int
    demands: tuple[AccountDemand, ...]

    @classmethod
    def from_fields(cls, fields: tuple) -> "DemandReport":
        """Return the report in the decoded fields of a datagram.

        Raises
        ======

        ValueError
            If a field is malformed; the message names it.

        Examples
        ========

        >>> DemandReport.from_fields((2, 940, ((7, 1),)))
        DemandReport(importance=2, admitted=940, demands=((7, 1),))
        >>> DemandReport.from_fields((5, 940, ()))
        Traceback (most recent call last):
        ...
        ValueError: DemandReport.importance: integer in 0..4 expected, got 5
        """
        _check_length(cls, fields)
        importance, admitted, demands = fields
        _check_integer(cls, "importance", importance, 0, RANK_LIMIT)
        _check_integer(cls, "admitted", admitted, 0, PER_MILLE + 1)
        _check_demands(cls, demands, MAX_REPORTED_ACCOUNTS)
        return cls(*fields)


class DemandTotals(NamedTuple):
    """Demand of accounts over all entry nodes, as requests within two seconds.

    Parameters
    ==========

    sender : str
        Name of the member that summed the reports.
    sequence : int
        Increases with each message of the sender.
    importance : int
        Importance of the requests.
    demands : tuple of pairs
        Hash and demand of the accounts that may be above their fair share.
    rest_count : int
        Number of all other accounts.
    rest_total : int
        Sum of their demands.
    """

    sender: str
    sequence: int
    importance: int
    demands: tuple[AccountDemand, ...]
    rest_count: int
    rest_total: int

    @classmethod
    def from_fields(cls, fields: tuple) -> "DemandTotals":
        """Return the totals in the decoded fields of a datagram.

        Raises
        ======

        ValueError
            If a field is malformed; the message names it.
        """
        _check_length(cls, fields)
        sender, sequence, importance, demands, rest_count, rest_total = fields
        if type(sender) is not str or not 0 < len(sender) <= _MAX_NAME_CHARACTERS:
            raise ValueError(
                "DemandTotals.sender: text of 1 to 200 characters expected"
            )
        _check_integer(cls, "sequence", sequence, 0, _SEQUENCE_LIMIT)
        _check_integer(cls, "importance", importance, 0, RANK_LIMIT)
        _check_demands(cls, demands, MAX_LISTED_ACCOUNTS)
        _check_integer(cls, "rest_count", rest_count, 0, _DEMAND_LIMIT)
        _check_integer(cls, "rest_total", rest_total, 0, _SEQUENCE_LIMIT)
        if rest_total < rest_count:
            raise ValueError(
                f"DemandTotals.rest_total: at least rest_count ({rest_count}) "
                f"expected, got {rest_total}"
            )
        return cls(*fields)


DEMAND_MESSAGE_TYPES: tuple[type, ...] = (DemandReport, DemandTotals)


def _check_length(message_type: type, fields: tuple) -> None:
    expected = len(message_type._fields)
    if len(fields) != expected:
        raise ValueError(
            f"{message_type.__name__}: {expected} fields expected, got {len(fields)}"
        )


def _check_integer(
    message_type: type, name: str, value: object, low: int, limit: int
) -> None:
    if type(value) is not int or not low <= value < limit:
        raise ValueError(
            f"{message_type.__name__}.{name}: integer in {low}..{limit - 1} expected, "
            f"got {_excerpt(value)}"
        )


def _check_demands(message_type: type, demands: object, most: int) -> None:
    name = f"{message_type.__name__}.demands"
    if type(demands) is not tuple or len(demands) > most:
        raise ValueError(f"{name}: at most {most} pairs expected")
    for index, pair in enumerate(demands):
        if type(pair) is not tuple or len(pair) != 2:
            raise ValueError(
                f"{name}[{index}]: pair of account and demand expected, "
                f"got {_excerpt(pair)}"
            )
        _check_integer(
            message_type, f"demands[{index}].account", pair[0], 0, _HASH_LIMIT
        )
        _check_integer(
            message_type, f"demands[{index}].demand", pair[1], 1, _DEMAND_LIMIT
        )


def _excerpt(value: object) -> str:
    return repr(value)[:40]
