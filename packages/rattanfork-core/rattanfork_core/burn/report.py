"""The report on service-level burn."""

from collections.abc import Iterable
from dataclasses import dataclass

from rattanfork_core.objectives import WINDOWS
from rattanfork_core.rules.document import ObjectiveModel

Totals = tuple[str, str, str, tuple[tuple[int, int], ...]]


@dataclass(frozen=True, slots=True)
class BurnLine:
    """How one objective stands.

    Parameters
    ==========

    burn : tuple of float
        For each window, the rate at which the budget is spent: 1 spends it
        exactly by the end of the window.
    budget_left : float
        Share of the longest window's budget that is left; negative when
        overspent.
    exhausted_in : float or None
        Seconds until the budget is gone at the rate of the shortest window.
    spenders : tuple
        Rules by bad answers, most first.
    """

    service: str
    importance: str
    target: float
    requests: int
    burn: tuple[float, ...]
    budget_left: float
    exhausted_in: float | None
    spenders: tuple[tuple[str, int], ...]


def burn_report(
    objectives: Iterable[ObjectiveModel], totals: Iterable[Totals]
) -> list[BurnLine]:
    """Return how each objective stands, given the totals of all nodes.

    Examples
    ========

    >>> objective = ObjectiveModel(service="claims", target=0.9)
    >>> seen = ("claims", "high", "r", ((80, 20), (80, 20), (80, 20)))
    >>> [line] = burn_report([objective], [seen])
    >>> [round(rate, 1) for rate in line.burn], round(line.budget_left, 1)
    ([2.0, 2.0, 2.0], -1.0)
    >>> line.spenders
    (('r', 20),)
    """
    seen = list(totals)
    return [_line(objective, seen) for objective in objectives]


def _line(objective: ObjectiveModel, totals: list[Totals]) -> BurnLine:
    chosen = [
        entry
        for entry in totals
        if entry[0] == objective.service and objective.importance in (None, entry[1])
    ]
    sums = [(0, 0)] * len(WINDOWS)
    spent: dict[str, int] = {}
    for *_, rule, windows in chosen:
        sums = [
            (good + g, bad + b)
            for (good, bad), (g, b) in zip(sums, windows, strict=True)
        ]
        spent[rule] = spent.get(rule, 0) + windows[-1][1]
    allowed = 1.0 - objective.target
    burn = tuple(_bad_share(pair) / allowed for pair in sums)
    left = 1.0 - burn[-1]
    exhausted_in = None
    if burn[0] > 0:
        exhausted_in = max(0.0, left) * WINDOWS[-1] / burn[0]
    ranked = sorted(spent.items(), key=lambda item: -item[1])
    spenders = tuple(item for item in ranked if item[1])[:5]
    return BurnLine(
        objective.service,
        objective.importance or "all",
        objective.target,
        sum(sums[-1]),
        burn,
        left,
        exhausted_in,
        spenders,
    )


def _bad_share(pair: tuple[int, int]) -> float:
    good, bad = pair
    return bad / (good + bad) if good + bad else 0.0
