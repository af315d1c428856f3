"""Report on the error budgets of service-level objectives."""

from collections.abc import Iterable
from dataclasses import dataclass

from rattanfork_core.objectives import WINDOWS
from rattanfork_core.rules.document import ObjectiveModel

Totals = tuple[str, str, str, tuple[tuple[int, int], ...]]


@dataclass(frozen=True, slots=True)
class BurnLine:
    """Error budget and burn rates of one objective.

    Parameters
    ==========

    burn : tuple of float
        Burn rate in each window: the fraction of bad requests relative to the
        fraction that the target allows.  At 1 the error budget is used up exactly
        at the end of the window.
    budget_left : float
        Remaining fraction of the longest window's error budget; negative if it is
        exceeded.
    exhausted_in : float or None
        Seconds until the budget is used up at the burn rate of the shortest window;
        None if that is 0.
    spenders : tuple
        Rules with the most bad requests, with their numbers, largest first.
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
    """Return the error budget of each objective, from the totals of all nodes.

    Examples
    ========

    >>> objective = ObjectiveModel(service="claims", target=0.9)
    >>> totals = ("claims", "high", "r", ((80, 20), (80, 20), (80, 20)))
    >>> [line] = burn_report([objective], [totals])
    >>> [round(rate, 1) for rate in line.burn], round(line.budget_left, 1)
    ([2.0, 2.0, 2.0], -1.0)
    >>> line.spenders
    (('r', 20),)
    """
    all_totals = list(totals)
    return [_line(objective, all_totals) for objective in objectives]


def _line(objective: ObjectiveModel, totals: list[Totals]) -> BurnLine:
    matching = [
        entry
        for entry in totals
        if entry[0] == objective.service and objective.importance in (None, entry[1])
    ]
    sums = [(0, 0)] * len(WINDOWS)
    bad_by_rule: dict[str, int] = {}
    for *_, rule, windows in matching:
        sums = [
            (good + g, bad + b)
            for (good, bad), (g, b) in zip(sums, windows, strict=True)
        ]
        bad_by_rule[rule] = bad_by_rule.get(rule, 0) + windows[-1][1]
    allowed = 1.0 - objective.target
    burn = tuple(_bad_fraction(pair) / allowed for pair in sums)
    left = 1.0 - burn[-1]
    exhausted_in = None
    if burn[0] > 0:
        exhausted_in = max(0.0, left) * WINDOWS[-1] / burn[0]
    ranked = sorted(bad_by_rule.items(), key=lambda item: -item[1])
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


def _bad_fraction(pair: tuple[int, int]) -> float:
    good, bad = pair
    return bad / (good + bad) if good + bad else 0.0
