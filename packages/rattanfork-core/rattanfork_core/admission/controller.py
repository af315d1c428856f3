"""Admission in front of one upstream."""

from math import ceil

from rattanfork_core.admission.decisions import Decision, Refuse, Start
from rattanfork_core.admission.estimate import ServiceTimeEstimate
from rattanfork_core.admission.limit import ConcurrencyLimit
from rattanfork_core.admission.queue import WaitQueue
from rattanfork_core.admission.settings import AdmissionSettings
from rattanfork_core.admission.threshold import AdmissionThreshold
from rattanfork_core.admission.waiter import Waiter
from rattanfork_core.clock import Clock
from rattanfork_core.request.outcome import Reason

#: Runs that would have ended, at the true pace, in a time without any end, with
#: a chance of 95 in 100: three, for ends that come independently.
_ENDS_MISSED = 3.0
#: Seconds without any end that say nothing of the upstream.  A busy process reads
#: answers many at a time, tens of milliseconds apart, and 200 requests at once to
#: an upstream that answers in 1 ms were refused for its own pauses.
_OWN_PAUSE = 0.1


class AdmissionController:
    """Decides which requests run, wait and are shed at one guard.

    Explanation
    ===========

    Important requests are shed last, exactly: the queue holds the waiters of
    lowest rank, a newcomer displaces the one of highest rank, and a free
    slot goes to the lowest rank.  A refused waiter is told at once.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    settings : AdmissionSettings
        Bounds.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> admission = AdmissionController(
    ...     ManualClock(),
    ...     AdmissionSettings(slots=1, min_queue_length=1, queue_ratio=1, warmup=0))
    >>> admission.offer(Waiter(1, 2.5, "get", 9.0, 0.0))
    [Start(waiter=Waiter(key=1, rank=2.5, operation='get', deadline=9.0, \
arrived=0.0, started=0.0))]
    >>> admission.offer(Waiter(2, 2.5, "get", 9.0, 0.0))
    []
    >>> [refusal] = admission.offer(Waiter(3, 0.5, "file", 9.0, 0.0))
    >>> refusal.waiter.key, refusal.reason
    (2, <Reason.SHED: 1>)
    """

    #: Seconds between two calls of :meth:`tick`.
    TICK_SECONDS = 0.1

    def __init__(self, clock: Clock, settings: AdmissionSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._queue = WaitQueue()
        self._latest_start: dict[int, float] = {}
        self._running: dict[int, Waiter] = {}
        self._limit = ConcurrencyLimit(
            clock, settings.slots, settings.warmup, settings.adaptive
        )
        self._estimate = ServiceTimeEstimate()
        self._cut = AdmissionThreshold(settings.surge_sample)
        self._leaving = False
        self._busy = 0.0
        self._busy_since = clock.now()
        #: When a run last ended, or the first began after idle.
        self._progress = clock.now()

    @property
    def threshold(self) -> float:
        """Requests of this rank or above are shed here."""
        return self._cut.value

    @property
    def running(self) -> int:
        """Requests at the upstream."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    @property
    def limit(self) -> ConcurrencyLimit:
        """The concurrency limit."""
        return self._limit

    @property
    def service_time(self) -> float:
        """Mean service time in seconds; 0 while unknown."""
        return self._estimate.mean

    @property
    def draining(self) -> bool:
        """Whether no new work is taken."""
        return self._leaving

    def reset_estimates(self) -> None:
        """Forget what was learned of the upstream: another incarnation is there.

        A successor that is faster would be refused work by its predecessor's
        times, and one that is still cold be sent more than it can end.
        """
        self._estimate = ServiceTimeEstimate()
        self._cut = AdmissionThreshold(self._settings.surge_sample)

    def drain(self) -> list[Decision]:
        """Take no new work; those waiting are refused, those running end."""
        self._leaving = True
        waiting = list(self._queue)
        return [self._refuse_waiting(w, Reason.LEAVING) for w in waiting]

    def offer(self, waiter: Waiter) -> list[Decision]:
        """Take in an arrival."""
        self._cut.on_arrival(waiter.rank, self._clock.now())
        if self._leaving:
            return [Refuse(waiter, Reason.LEAVING)]
        if self._cannot_finish(waiter):
            return [Refuse(waiter, Reason.TOO_LATE)]
        if not self._queue and len(self._running) < self._limit.current:
            return [self._start(waiter)]
        return self._enqueue(waiter)

    def finish(self, key: int, succeeded: bool = True) -> list[Decision]:
        """Take note that a run has ended, and start who is next."""
        self._count_busy()
        waiter = self._running.pop(key, None)
        self._progress = self._clock.now()
        if waiter is not None and succeeded:
            now = self._clock.now()
            duration = now - waiter.started
            self._estimate.add(waiter.operation, duration)
            binding = len(self._queue) > 0
            self._limit.on_finish(waiter.operation, waiter.started, duration, binding)
        return self._start_next()

    def on_upstream_shed(self) -> None:
        """Take note that the upstream itself refused for load."""
        self._limit.on_shed(len(self._running))

    def withdraw(self, waiter: Waiter) -> bool:
        """Take a waiter out of the queue; return whether it was there."""
        self._latest_start.pop(waiter.key, None)
        return self._queue.remove(waiter)

    def tick(self) -> list[Decision]:
        """Shed the doomed and adapt the cut; call every :attr:`TICK_SECONDS`."""
        now = self._clock.now()
        # Who would be doomed before the next look is told now.  Told after its
        # time, the news would cross its sender's own timeout, which has to say
        # that the request may have run; a posting could not be tried again.
        doomed = self._queue.pop_unfinishable(
            self._latest_start, now + self.TICK_SECONDS
        )
        decisions: list[Decision] = []
        for waiter in doomed:
            self._latest_start.pop(waiter.key, None)
            decisions.append(Refuse(waiter, Reason.TOO_LATE))
        decisions += self._start_next()
        decisions += self._shed_overdue(now)
        limit = self._limit.current
        if self._estimate.mean:
            self._cut.update(
                capacity=self._pace() * self.TICK_SECONDS,
                queue_share=len(self._queue) / self._queue_bound(),
                utilisation=self._take_busy() / (limit * self.TICK_SECONDS),
            )
        return decisions

    def _shed_overdue(self, now: float) -> list[Decision]:
        """Shed who has waited too long, and announce that no more such may come.

        While the queue is not full, whoever comes with a lower rank goes first.  One
        of high rank would wait until it is doomed, with all that was done for it.
        """
        longest = max(self._settings.max_wait, self._estimate.mean)
        overdue = self._queue.pop_arrived_before(now - longest)
        for waiter in overdue:
            self._latest_start.pop(waiter.key, None)
            self._on_displaced(waiter)
        return [Refuse(waiter, Reason.SHED) for waiter in overdue]

    def _count_busy(self) -> None:
        now = self._clock.now()
        self._busy += len(self._running) * (now - self._busy_since)
        self._busy_since = now

    def _take_busy(self) -> float:
        self._count_busy()
        busy, self._busy = self._busy, 0.0
        return busy

    def _pace(self) -> float:
        """Return how many runs end in a second, from a known service time.

        Service times are learned from runs that end.  An upstream that hangs
        ends none, and by its old pace the queue took hundreds more, who waited
        until their deadlines; so a time without any end bounds the pace.
        """
        pace = self._limit.current / self._estimate.mean
        quiet = self._clock.now() - self._progress
        if not self._running or quiet < _OWN_PAUSE:
            return pace
        if quiet * pace > _ENDS_MISSED:
            return _ENDS_MISSED / quiet
        return pace

    def _queue_bound(self) -> int:
        limit, settings = self._limit.current, self._settings
        bound = max(settings.min_queue_length, ceil(limit * settings.queue_ratio))
        if not self._estimate.mean:
            return bound
        return max(bound, int(self._pace() * settings.queue_delay))

    def _cannot_finish(self, waiter: Waiter, wait: float = 0.0) -> bool:
        now = self._clock.now()
        if waiter.deadline <= now:
            return True
        if not self._running:
            # Were an overlong estimate to refuse everything, no run could
            # ever correct it: the service would stay shut after it recovered.
            # An idle upstream therefore always takes one.
            return False
        needed = wait + self._estimate.lower_bound(waiter.operation)
        return now + needed > waiter.deadline

    def _enqueue(self, waiter: Waiter) -> list[Decision]:
        mean = self._estimate.mean
        wait = (
            (self._queue.count_ahead(waiter.rank) + 1) / self._pace() if mean else 0.0
        )
        if self._cannot_finish(waiter, max(0.0, wait - mean)):
            self._on_displaced(waiter)
            return [Refuse(waiter, Reason.TOO_LATE)]
        shortest = self._estimate.lower_bound(waiter.operation)
        self._latest_start[waiter.key] = waiter.deadline - shortest
        self._queue.push(waiter)
        bound = self._queue_bound()
        if len(self._queue) <= bound:
            if 2 * len(self._queue) > bound and mean:
                self._cut.on_pressure(self._clock.now(), self._pace())
            return []
        worst = self._queue.pop_highest_rank()
        self._on_displaced(worst)
        self._latest_start.pop(worst.key, None)
        return [Refuse(worst, Reason.SHED)]

    def _on_displaced(self, waiter: Waiter) -> None:
        if not self._estimate.mean:
            # A cold start: what the upstream can do is not known yet.
            return
        self._cut.on_displaced(waiter.rank, self._clock.now(), self._pace())

    def _refuse_waiting(self, waiter: Waiter, reason: Reason) -> Refuse:
        self._queue.remove(waiter)
        self._latest_start.pop(waiter.key, None)
        return Refuse(waiter, reason)

    def _start(self, waiter: Waiter) -> Start:
        self._count_busy()
        waiter.started = self._clock.now()
        if not self._running:
            self._progress = waiter.started
        self._running[waiter.key] = waiter
        return Start(waiter)

    def _start_next(self) -> list[Decision]:
        decisions: list[Decision] = []
        while self._queue and len(self._running) < self._limit.current:
            waiter = self._queue.pop_lowest_rank()
            self._latest_start.pop(waiter.key, None)
            if self._cannot_finish(waiter):
                decisions.append(Refuse(waiter, Reason.TOO_LATE))
            else:
                decisions.append(self._start(waiter))
        return decisions
