"""Ways to bound the retries to a service, under restarts, partitions and moved load.

Simulates one service of 30 gates whose attempts fail, and prints for each way the worst
excess over the stated bound and the share of the requests that succeed:

- ``gates``: the product's way; each gate grants a part of its own requests.
- ``leased``: one issuer counts all requests and retries and grants each retry.  If its
  node restarts, it issues nothing for a window, as its counts are lost.  Gates that do
  not see it are granted nothing.  Messages take no time and are never lost here.
- ``both``: gates grant for their own requests, and lease the fixed allowance.
"""

import sys
from bisect import bisect_right
from collections.abc import Callable, Sequence

from rattanfork_core.budgets import GateRetryBudget, RetryCharge, RetryDecision
from rattanfork_core.budgets.tests.retry_simulation import (
    EXTRA,
    RATIO,
    WINDOW,
    RetrySimulation,
    disagreeing,
    inheriting,
    moving,
    restarting,
)
from rattanfork_core.clock import ManualClock
from tables import table

SECONDS = 26.0
#: Seconds between two reports of a gate's counts to the issuer.
REPORT_SECONDS = 0.5


class Issuer:
    """Counts the requests and retries of a service, and grants retries exactly."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._requests: list[float] = []
        self._retries: list[float] = []
        self._silent_until = 0.0
        self.asked = 0

    def restart(self, now: float) -> None:
        """Lose all counts, and issue nothing for a window."""
        self._requests.clear()
        self._retries.clear()
        self._silent_until = now + WINDOW

    def count_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)

    def grant(self, now: float) -> bool:
        """Return whether a retry may be sent."""
        self.asked += 1
        peak = max(
            _count(self._requests, now - back) for back in (0.0, WINDOW / 2, WINDOW)
        )
        allowed = self._ratio * peak + EXTRA
        if now < self._silent_until or _count(self._retries, now) + 1 > allowed:
            return False
        self._retries.append(now)
        return True


def _count(times: list[float], until: float) -> int:
    """Return how many of the sorted times lie in the window that ends at a time."""
    return bisect_right(times, until) - bisect_right(times, until - WINDOW)


class LeasingGate(GateRetryBudget):
    """A gate that asks an issuer for retries, after its own part if it has one."""

    issuer: Issuer
    own_ratio = 0.0
    is_connected = True

    def __init__(self, clock: ManualClock, *_: float) -> None:
        super().__init__(clock, self.own_ratio, 0.0, WINDOW)

    def count_request(self) -> None:
        """Count a request here and at the issuer."""
        super().count_request()
        self.issuer.count_request(self._clock.now())

    def set_gate_count(self, gates: int) -> None:
        """Lose the issuer when most gates are out of sight."""
        self.is_connected = gates > 1

    def grant(self, rank: float) -> bool:
        """Grant from the own part, or else ask the issuer."""
        if self.own_ratio and super().grant(rank):
            return True
        return self.is_connected and self.issuer.grant(self._clock.now())

    def decide_inherited(self) -> RetryDecision:
        """Decide as for other retries."""
        charge = RetryCharge.INHERITED if self.grant(0.0) else RetryCharge.DENIED
        return RetryDecision(charge, self.state, 0)


def leasing(own_ratio: float) -> Callable[[], tuple[type[GateRetryBudget], Issuer]]:
    """Return a factory of a class of gates and their issuer."""

    def make() -> tuple[type[GateRetryBudget], Issuer]:
        issuer = Issuer(0.0 if own_ratio else RATIO)
        fields = {"issuer": issuer, "own_ratio": own_ratio}
        return type("Gate", (LeasingGate,), fields), issuer

    return make


WAYS = {"gates": None, "leased": leasing(0.0), "both": leasing(RATIO)}
SCENARIOS: dict[str, Callable[..., RetrySimulation]] = {
    "no disruption": lambda **way: RetrySimulation(rate=700.0, **way),
    "18 of 30 gates restart": lambda **way: restarting(700.0, (6,), **way),
    "four times in 6 s": lambda **way: restarting(700.0, (6, 8, 10, 12), **way),
    "6 gates see only themselves": lambda **way: disagreeing(
        700.0, [1] * 6 + [30] * 24, **way
    ),
    "load moves each 2 s": lambda **way: moving(700.0, (14, 16, 18, 20), **way),
    "a fifth of calls from retried runs": lambda **way: inheriting(700.0, **way),
}
FAILING = (0.1, 0.2, 0.5)


def run(way: str, scenario: Callable[..., RetrySimulation]) -> Sequence[object]:
    """Return worst excess, success rate and messages a second of one run."""
    make = WAYS[way]
    if make is None:
        simulation = scenario().run(SECONDS)
        messages = 0.0
    else:
        gate, issuer = make()
        simulation = scenario(make_gate=gate)
        restart = simulation.restart

        def restart_with_issuer(numbers: Sequence[int]) -> None:
            restart(numbers)
            if 0 in numbers:
                issuer.restart(simulation.clock.now())

        simulation.restart = restart_with_issuer
        simulation.run(SECONDS)
        reports = len(simulation.gates) / REPORT_SECONDS
        messages = 2 * issuer.asked / SECONDS + reports
    return (
        round(simulation.arrivals.worst_excess),
        round(simulation.success_rate, 4),
        round(messages),
    )


def main() -> None:
    """Print the tables."""
    rows = []
    for name, scenario in SCENARIOS.items():
        rows += [[name, way, *run(way, scenario)] for way in WAYS]
        print(name, file=sys.stderr)
    for share in FAILING:

        def failing(share: float = share, **way: object) -> RetrySimulation:
            simulation = RetrySimulation(rate=700.0, **way)
            simulation.failing, simulation.failing_from = share, 12.0
            return simulation

        rows += [[f"{share} fail, steady", way, *run(way, failing)] for way in WAYS]
    print(table(["what happens", "way", "excess", "succeed", "messages/s"], rows))


if __name__ == "__main__":
    main()
