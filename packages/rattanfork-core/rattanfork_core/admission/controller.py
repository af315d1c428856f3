"""Admission controller: the last check before a request goes to its upstream."""

from math import ceil, inf

from rattanfork_core.admission.decisions import Decision, Refuse, Start
from rattanfork_core.admission.estimate import ServiceTimeEstimate
from rattanfork_core.admission.limit import ConcurrencyLimit
from rattanfork_core.admission.queue import WaitQueue
from rattanfork_core.admission.settings import AdmissionSettings
from rattanfork_core.admission.threshold import AdmissionThreshold
from rattanfork_core.admission.waiter import Waiter
from rattanfork_core.advertised import AdvertisedRateLimit
from rattanfork_core.clock import Clock
from rattanfork_core.request.outcome import Reason

#: If completions arrive independently and none is seen in an interval, fewer than
#: this many were due in it, with 95% confidence (the "rule of three").
_MAX_MISSED_COMPLETIONS = 3.0
#: Seconds without a completion that do not lower the estimated throughput.  A busy
#: event loop reads responses in batches tens of milliseconds apart; without this
#: allowance, 200 concurrent requests to an upstream that answers in 1 ms were refused.
_MAX_LOOP_PAUSE_SECONDS = 0.1


class AdmissionController:
    """Decides which requests one upstream runs, which wait, and which are shed.

    Explanation
    ===========

    Requests are shed strictly by rank, highest first: when the queue is full, an
    arrival displaces the waiter of highest rank, and a free slot goes to the waiter
    of lowest rank.  A refused request is answered immediately.

    The controller does no I/O.  Its methods return the decisions that the caller
    has to carry out.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    settings : AdmissionSettings
        Slots, queue bounds and time limits.

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

    #: Interval at which :meth:`tick` has to be called.
    TICK_SECONDS = 0.1

    def __init__(self, clock: Clock, settings: AdmissionSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._queue = WaitQueue()
        #: Latest useful start of each waiter in the queue, by its key.
        self._latest_start: dict[int, float] = {}
        self._running: dict[int, Waiter] = {}
        self._limit = ConcurrencyLimit(
            clock, settings.slots, settings.warmup, settings.adaptive
        )
        self._rate_limit = AdvertisedRateLimit(clock)
        self._estimate = ServiceTimeEstimate()
        self._threshold = AdmissionThreshold(settings.surge_sample)
        self._draining = False
        #: Busy time of the slots since the last tick, less the current time for each
        #: run in progress: starts subtract the time, ends add it.
        self._busy_balance = 0.0
        #: When the last run completed, or the first one started after an idle time.
        self._last_progress = clock.now()

    @property
    def threshold(self) -> float:
        """Admission threshold: requests of this rank or above are shed."""
        return self._threshold.value

    @property
    def running(self) -> int:
        """Number of requests running at the upstream."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def limit(self) -> ConcurrencyLimit:
        """The concurrency limit."""
        return self._limit

    @property
    def rate_limit(self) -> AdvertisedRateLimit:
        """The rate limit that the upstream advertises."""
        return self._rate_limit

    @property
    def service_time(self) -> float:
        """Mean service time in seconds; 0 while unknown."""
        return self._estimate.mean

    @property
    def draining(self) -> bool:
        """Whether all new requests are refused."""
        return self._draining

    def reset_estimates(self) -> None:
        """Discard rate limit, service times and threshold of a replaced upstream.

        With its predecessor's service times, a faster upstream would be refused
        work that it can do, and a cold one sent more than it can complete.
        """
        self._rate_limit.clear()
        self._estimate = ServiceTimeEstimate()
        self._threshold = AdmissionThreshold(self._settings.surge_sample)

    def drain(self) -> list[Decision]:
        """Refuse waiting and new requests; running requests complete."""
        self._draining = True
        waiting = list(self._queue)
        return [self._refuse_waiter(w, Reason.LEAVING) for w in waiting]

    def offer(self, waiter: Waiter) -> list[Decision]:
        """Start, enqueue or refuse a request that has arrived."""
        now = self._clock.now()
        if self.start_at_once(waiter, now):
            return [Start(waiter)]
        return self.enqueue(waiter, now)

    def start_at_once(self, waiter: Waiter, now: float) -> bool:
        """Start a request that has arrived if a slot is free and none waits for it.

        Returns whether it was started.  Otherwise the caller has to call
        :meth:`enqueue`; both together do the same as :meth:`offer`, without a list of
        decisions in the most frequent case.
        """
        self._threshold.on_arrival(waiter.rank, now)
        if (
            self._latest_start  # has an entry for each waiter in the queue
            or self._draining
            or len(self._running) >= self._limit.current
            or self._cannot_finish(waiter, now)
            or not self._rate_limit.take()
        ):
            return False
        self._start(waiter, now)
        return True

    def enqueue(self, waiter: Waiter, now: float) -> list[Decision]:
        """Enqueue or refuse a request that :meth:`start_at_once` did not start."""
        if self._draining:
            return [Refuse(waiter, Reason.LEAVING)]
        if self._cannot_finish(waiter, now):
            return [Refuse(waiter, Reason.TOO_LATE)]
        return self._enqueue(waiter, now)

    def finish(self, key: int, succeeded: bool = True) -> list[Decision]:
        """Record that a run has ended, and start waiting requests."""
        now = self._clock.now()
        waiter = self._running.pop(key, None)
        if waiter is not None:
            self._busy_balance += now
        self._last_progress = now
        if waiter is not None and succeeded:
            duration = now - waiter.started
            self._estimate.add(waiter.operation, duration)
            if self._settings.adaptive:
                self._limit.on_finish(
                    waiter.operation,
                    waiter.started,
                    duration,
                    limited=bool(self._latest_start),
                )
        return self._start_next(now) if self._latest_start else []

    def on_upstream_shed(self) -> None:
        """Lower the limit, as the upstream itself refused a request for load."""
        self._limit.on_shed(len(self._running))

    def withdraw(self, waiter: Waiter) -> bool:
        """Remove a waiter from the queue; return whether it was there."""
        self._latest_start.pop(waiter.key, None)
        return self._queue.remove(waiter)

    def tick(self) -> list[Decision]:
        """Shed waiters that cannot finish in time, and adapt the threshold.

        Has to be called every :attr:`TICK_SECONDS`.
        """
        now = self._clock.now()
        # Includes waiters whose latest start falls before the next tick.  A refusal
        # sent after that could cross the sender's own timeout, which has to report
        # that the request may have run, so a write could not be retried.
        unfinishable = self._queue.pop_unfinishable(
            self._latest_start, now + self.TICK_SECONDS
        )
        decisions: list[Decision] = []
        for waiter in unfinishable:
            self._latest_start.pop(waiter.key, None)
            decisions.append(Refuse(waiter, Reason.TOO_LATE))
        decisions += self._start_next(now)
        decisions += self._shed_overdue(now)
        limit = self._limit.current
        if self._estimate.mean:
            throughput = self._throughput(now, limit)
            self._threshold.update(
                capacity=throughput * self.TICK_SECONDS,
                queue_fill=len(self._queue) / self._max_queue_length(limit, throughput),
                utilisation=max(
                    self._take_busy_time(now) / (limit * self.TICK_SECONDS),
                    1.0 - self._rate_limit.unused_share,
                ),
            )
        return decisions

    def _shed_overdue(self, now: float) -> list[Decision]:
        """Shed waiters that exceed the maximum wait, and lower the threshold.

        While the queue is not full, nothing is displaced, and a steady flow of lower
        ranks starves a waiter of high rank until its deadline; the work done for it
        at the services earlier in the call chain would be wasted.
        """
        max_wait = max(self._settings.max_wait, self._estimate.mean)
        overdue = self._queue.pop_arrived_before(now - max_wait)
        for waiter in overdue:
            self._latest_start.pop(waiter.key, None)
            self._on_displaced(waiter)
        reason = self._shed_reason()
        return [Refuse(waiter, reason) for waiter in overdue]

    def _take_busy_time(self, now: float) -> float:
        running = len(self._running) * now
        busy = self._busy_balance + running
        self._busy_balance = -running
        return busy

    def _throughput(self, now: float, limit: int) -> float:
        """Return the upstream's throughput in runs per second.

        Requires a known service time.  An upstream that hangs completes no run, so
        its service times would never be updated, and at the old throughput the queue
        would accept hundreds of requests that wait until their deadlines.  The time
        since the last completion therefore bounds the throughput.
        """
        throughput = min(limit / self._estimate.mean, self._rate_limit.rate)
        stalled = now - self._last_progress
        if not self._running or stalled < _MAX_LOOP_PAUSE_SECONDS:
            return throughput
        if stalled * throughput > _MAX_MISSED_COMPLETIONS:
            return _MAX_MISSED_COMPLETIONS / stalled
        return throughput

    def _is_rate_limited(self) -> bool:
        """Return whether the advertised limit, not the slots, bounds the throughput."""
        rate = self._rate_limit.rate
        if rate == inf:
            return False
        mean = self._estimate.mean
        return not mean or rate < self._limit.current / mean

    def _shed_reason(self) -> Reason:
        return Reason.UPSTREAM_LIMIT if self._is_rate_limited() else Reason.SHED

    def _max_queue_length(self, limit: int, throughput: float) -> int:
        """Return the bound on the queue; a throughput of 0 means that it is unknown."""
        settings = self._settings
        if self._is_rate_limited():
            return max(1, int(self._rate_limit.rate * settings.queue_delay))
        bound = max(settings.min_queue_length, ceil(limit * settings.queue_ratio))
        return max(bound, int(throughput * settings.queue_delay))

    def _cannot_finish(self, waiter: Waiter, now: float, wait: float = 0.0) -> bool:
        deadline = waiter.deadline
        if deadline <= now:
            return True
        if not self._running:
            # An idle upstream always gets a request.  If an overlong estimate
            # refused everything, no run could correct it, and the service would
            # stay closed after it has recovered.
            return False
        needed = wait + self._estimate.lower_bound(waiter.operation)
        return now + needed > deadline

    def _enqueue(self, waiter: Waiter, now: float) -> list[Decision]:
        mean = self._estimate.mean
        limit = self._limit.current
        throughput = self._throughput(now, limit) if mean else 0.0
        wait = (self._queue.count_ahead(waiter.rank) + 1) / throughput if mean else 0.0
        if self._cannot_finish(waiter, now, max(0.0, wait - mean)):
            self._on_displaced(waiter)
            return [Refuse(waiter, Reason.TOO_LATE)]
        shortest = self._estimate.lower_bound(waiter.operation)
        self._latest_start[waiter.key] = waiter.deadline - shortest
        self._queue.push(waiter)
        length = len(self._queue)
        bound = self._max_queue_length(limit, throughput)
        if length <= bound:
            if 2 * length > bound and mean:
                self._threshold.on_pressure(now, throughput)
            return []
        displaced = self._queue.pop_highest_rank()
        self._on_displaced(displaced)
        self._latest_start.pop(displaced.key, None)
        return [Refuse(displaced, self._shed_reason())]

    def _on_displaced(self, waiter: Waiter) -> None:
        if not self._estimate.mean:
            # Cold start: the upstream's throughput is not known yet.
            return
        now = self._clock.now()
        throughput = self._throughput(now, self._limit.current)
        self._threshold.on_displaced(waiter.rank, now, throughput)

    def _refuse_waiter(self, waiter: Waiter, reason: Reason) -> Refuse:
        self._queue.remove(waiter)
        self._latest_start.pop(waiter.key, None)
        return Refuse(waiter, reason)

    def _start(self, waiter: Waiter, now: float) -> None:
        self._busy_balance -= now
        waiter.started = now
        if not self._running:
            self._last_progress = now
        self._running[waiter.key] = waiter

    def _start_next(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while (
            self._latest_start
            and len(self._running) < self._limit.current
            and self._rate_limit.has_token()
        ):
            waiter = self._queue.pop_lowest_rank()
            self._latest_start.pop(waiter.key, None)
            if self._cannot_finish(waiter, now):
                decisions.append(Refuse(waiter, Reason.TOO_LATE))
            else:
                self._rate_limit.take()
                self._start(waiter, now)
                decisions.append(Start(waiter))
        return decisions
