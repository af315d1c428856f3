"""Tests of admission control under a rate limit that the upstream advertises."""

from rattanfork_core.admission import AdmissionController, AdmissionSettings, Refuse
from rattanfork_core.admission.decisions import Start
from rattanfork_core.admission.waiter import Waiter
from rattanfork_core.clock import ManualClock
from rattanfork_core.request import Reason

_STEP_S = 0.01
_RUN_S = 0.2
#: Settings of the gates of the route path.
_GATE = AdmissionSettings(
    slots=40,
    warmup=0.0,
    adaptive=False,
    queue_ratio=1.5,
    queue_delay=0.2,
    surge_sample=100,
    max_wait=0.1,
)


class LimitedUpstream:
    """Offers requests of evenly spread ranks; each run takes a fixed time."""

    def __init__(self) -> None:
        self.clock = ManualClock(10.0)
        self.admission = AdmissionController(self.clock, _GATE)
        self.started: list[Waiter] = []
        self.refused: dict[Reason, list[Waiter]] = {}
        self._running: list[tuple[float, Waiter]] = []
        self._arrived = 0
        self._steps = 0

    def play(self, seconds: float, per_second: float, obeys: bool = False) -> None:
        """Offer requests; if ``obeys``, only those below the announced threshold."""
        due = 0.0
        for _ in range(round(seconds / _STEP_S)):
            self.clock.advance(_STEP_S)
            self._steps += 1
            self._finish_runs()
            if self._steps % 10 == 0:
                self._apply(self.admission.tick())
            due += per_second * _STEP_S
            while due >= 1:
                due -= 1
                self._offer(obeys)

    def started_since(self, begin: float) -> list[Waiter]:
        """Return the requests that started after a time."""
        return [w for w in self.started if w.started >= begin]

    def _offer(self, obeys: bool) -> None:
        self._arrived += 1
        rank = self._arrived * 37 % 100 / 20
        if obeys and rank >= self.admission.threshold:
            return
        now = self.clock.now()
        self._apply(
            self.admission.offer(Waiter(self._arrived, rank, "op", now + 2, now))
        )

    def _finish_runs(self) -> None:
        now = self.clock.now()
        done = [w for at, w in self._running if at <= now]
        self._running = [(at, w) for at, w in self._running if at > now]
        for waiter in done:
            self._apply(self.admission.finish(waiter.key))

    def _apply(self, decisions) -> None:
        for decision in decisions:
            if isinstance(decision, Start):
                self.started.append(decision.waiter)
                self._running.append((self.clock.now() + _RUN_S, decision.waiter))
            elif isinstance(decision, Refuse):
                self.refused.setdefault(decision.reason, []).append(decision.waiter)


def test_limit_is_used_by_nine_tenths_under_overload():
    """Guards against a limit that is kept by sending too little."""
    upstream = LimitedUpstream()
    upstream.play(3.0, per_second=60)
    upstream.admission.rate_limit.set(20.0)
    upstream.play(2.0, per_second=60)
    begin = upstream.clock.now()
    upstream.play(10.0, per_second=60)
    assert 0.9 * 200 <= len(upstream.started_since(begin)) <= 210


def test_limit_is_used_by_nine_tenths_if_callers_obey_the_threshold():
    """Guards against a threshold that starves the upstream below its limit."""
    upstream = LimitedUpstream()
    upstream.play(3.0, per_second=60)
    upstream.admission.rate_limit.set(20.0)
    upstream.play(5.0, per_second=60, obeys=True)
    begin = upstream.clock.now()
    upstream.play(10.0, per_second=60, obeys=True)
    assert 0.9 * 200 <= len(upstream.started_since(begin)) <= 210


def test_requests_over_the_limit_are_refused_by_rank_and_named_so():
    upstream = LimitedUpstream()
    upstream.play(3.0, per_second=60)
    assert not upstream.refused
    upstream.admission.rate_limit.set(20.0)
    upstream.play(1.0, per_second=60)
    begin = upstream.clock.now()
    upstream.play(10.0, per_second=60)
    assert set(upstream.refused) <= {Reason.UPSTREAM_LIMIT, Reason.TOO_LATE}
    ranks = sorted(w.rank for w in upstream.started_since(begin))
    # A third of the demand fits: nearly all of it has the lowest third of the ranks.
    assert ranks[int(0.8 * len(ranks))] < 5 / 3 + 0.5


def test_demand_below_the_limit_is_not_refused():
    upstream = LimitedUpstream()
    upstream.play(3.0, per_second=15)
    upstream.admission.rate_limit.set(20.0)
    upstream.play(10.0, per_second=15)
    assert not upstream.refused
    assert upstream.admission.threshold == 5.0


def test_share_is_back_within_five_seconds_of_the_end_of_the_limit():
    """Guards against a limit that outlasts its statement, and against a surge."""
    upstream = LimitedUpstream()
    upstream.play(3.0, per_second=60)
    upstream.admission.rate_limit.set(10.0)
    upstream.play(10.0, per_second=60, obeys=True)
    upstream.admission.rate_limit.lift()
    end = upstream.clock.now()
    upstream.play(0.5, per_second=60, obeys=True)
    assert len(upstream.started_since(end)) < 15
    upstream.play(4.5, per_second=60, obeys=True)
    begin = upstream.clock.now()
    upstream.play(2.0, per_second=60, obeys=True)
    assert len(upstream.started_since(begin)) >= 0.95 * 120


def test_limit_far_below_one_a_second_starts_single_requests():
    upstream = LimitedUpstream()
    upstream.play(3.0, per_second=60)
    upstream.admission.rate_limit.set(0.5)
    begin = upstream.clock.now()
    upstream.play(20.0, per_second=60)
    assert 9 <= len(upstream.started_since(begin)) <= 12
