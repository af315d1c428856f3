"""Rate limits and leaving that an upstream advertises in its responses."""

from rattanfork_core.request import Outcome

from rattanfork_node.relay.tests.fakes import GateHarness

#: Requests that an upstream may get in any ``_WINDOW_S`` seconds: this factor times
#: what its limit allows, and ``_EXTRA_REQUESTS`` more.
_LIMIT_FACTOR = 1.5
_EXTRA_REQUESTS = 5
_WINDOW_S = 4.0
_STEP_S = 0.02


class LimitedUpstream:
    """Offers requests to a gate and answers those that it sends, on the fake clock."""

    def __init__(self, slots: int = 40) -> None:
        self.harness = GateHarness(slots)
        self.sent_at: list[float] = []
        self.refused = 0
        self._answered = 0
        self._steps = 0

    def play(self, seconds: float, per_step: int = 2, **headers: bytes) -> None:
        """Offer ``per_step`` requests each step; answer all after one step."""
        for _ in range(round(seconds / _STEP_S)):
            self.harness.clock.advance(_STEP_S)
            self._steps += 1
            self._answer_all(headers)
            if self._steps % 5 == 0:
                self.harness.gate.tick()
            for number in range(per_step):
                name = f"r{self._steps}-{number}"
                _, results = self.harness.submit(name, rank=self._rank(number))
                self.refused += any(r.outcome is Outcome.NOT_RUN for r in results)
            self._record_sent()

    def most_in_window(self, since: float) -> int:
        """Return the most requests sent in any window that begins after a time."""
        times = [at for at in self.sent_at if at >= since]
        return max(
            (sum(begin <= at < begin + _WINDOW_S for at in times) for begin in times),
            default=0,
        )

    def _rank(self, number: int) -> float:
        return (self._steps * 7 + number) % 50 / 10

    def _record_sent(self) -> None:
        new = len(self.harness.pool.connections) - len(self.sent_at)
        self.sent_at += [self.harness.clock.now()] * new

    def _answer_all(self, headers: dict[str, bytes]) -> None:
        sent = len(self.harness.pool.connections)
        for number in range(self._answered, sent):
            self.harness.answer(number, 200, **headers)
            self._record_sent()
        self._answered = sent


def _allowed(limit: float) -> float:
    return _LIMIT_FACTOR * limit * _WINDOW_S + _EXTRA_REQUESTS


def test_upstream_gets_no_more_requests_than_its_advertised_limit_allows():
    """Guards against a gate that forwards an advertised limit without keeping it."""
    upstream = LimitedUpstream()
    upstream.play(1.0)
    upstream.play(0.1, rattanfork_rate_limit=b"10")
    named_at = upstream.harness.clock.now()
    upstream.play(10.0, rattanfork_rate_limit=b"10")
    assert upstream.most_in_window(named_at) <= _allowed(10)
