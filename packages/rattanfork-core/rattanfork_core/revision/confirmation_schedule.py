"""Schedule of the polls by which a few nodes check the store for changes."""

from math import log, log2
from random import Random

from rattanfork_core.clock import Clock

#: Seconds after the last confirmation at which the first node of the group may poll.
#: A change has to be in force everywhere within 2 s.  From the poll to the last
#: peer's fetch it takes some 0.4 s, and a second node needs time to poll if the first
#: one is suspended or partitioned off just then.
_MIN_WAIT_S = 0.6
#: Width in seconds of the interval, from the minimum on, from which waits are drawn.
_WAIT_SPREAD_S = 0.5
#: Seconds that a node outside the group waits, and seconds more for each doubling of
#: the fleet: confirmations reach it on the probes of others, one round trip a second.
_OUTSIDER_WAIT_S = 1.5
_OUTSIDER_WAIT_PER_DOUBLING_S = 0.5
#: First and longest pause in seconds after a poll that the store did not answer.
_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 1.0


class ConfirmationSchedule:
    """Schedules polls that confirm that the store holds no newer version.

    Explanation
    ===========

    Nodes normally learn of changes by a watch on the store, or from peers.  A watch
    that the store has lost looks like one without events, and if all
    watches are lost at once, no peer has a newer version either.  So nodes also poll
    the store, with feedback suppression [1]_: each node of a small group waits for a
    random time after the last confirmation, then polls the store and sends the
    confirmation to the others, which start to wait anew.  Waits are distributed so
    that few of them end early, whatever the size of the group.  So the rate of polls
    depends neither on the size of the fleet nor on any single node.  A node that
    receives no confirmations polls the store itself.

    With all watches lost, a change is in force everywhere after 0.7 s with 12 nodes
    and after 1.2 s with 1,000 nodes, at about two polls a second from the whole
    fleet (simulated with the real membership views, worst of three seeds).  Without
    this schedule it takes 21.5 s, until the watches time out.

    Parameters
    ==========

    clock : Clock
        Source of the current time.  It must advance while the machine is suspended,
        or a node takes an old confirmation for a recent one when it resumes.
    random : Random
        Source of the waits.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> schedule = ConfirmationSchedule(clock, Random(1))
    >>> schedule.due()
    False
    >>> clock.advance(1.2)
    >>> schedule.due()
    True
    >>> schedule.on_confirmation(0.1)
    >>> schedule.due(), round(schedule.age, 1)
    (False, 0.1)

    References
    ==========

    .. [1] Nonnenmacher, Biersack, "Scalable Feedback for Large Groups", 1999.
       The exponential distribution of the waits is from there.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._confirmed_at = clock.now()
        self._confirmed = False
        self._group_size = 1
        self._outsider_wait: float | None = None
        self._polled_at = clock.now()
        self._wait = self._draw_wait()
        self._retry_at = clock.now()
        self._retry_pause = _FIRST_RETRY_S
        self._in_progress = False
        #: Whether another poll was made due while one was in progress.
        self._requested_again = False

    @property
    def confirmed(self) -> bool:
        """Whether any confirmation was received; until then, ``age`` must not be sent.

        Otherwise a node that starts while the store is unavailable would send the
        time since its start as the age of a confirmation, and the others would
        delay their own polls.
        """
        return self._confirmed

    @property
    def age(self) -> float:
        """Seconds since the last confirmation, or since the start if there was none."""
        return self._clock.now() - self._confirmed_at

    def set_group(self, group_size: int, fleet_size: int, is_member: bool) -> None:
        """Set the sizes of the group and the fleet, and draw a new wait.

        Parameters
        ==========

        group_size : int
            Number of nodes that take turns polling the store.
        fleet_size : int
            Number of all nodes.
        is_member : bool
            Whether this node belongs to the group; others wait longer.
        """
        self._group_size = max(1, group_size)
        outsider_wait = _OUTSIDER_WAIT_S + _OUTSIDER_WAIT_PER_DOUBLING_S * log2(
            max(1, fleet_size)
        )
        self._outsider_wait = None if is_member else outsider_wait
        self._wait = self._draw_wait()

    def on_confirmation(self, age: float) -> None:
        """Record that the store held nothing newer ``age`` seconds ago."""
        confirmed_at = self._clock.now() - age
        if not self._confirmed or confirmed_at > self._confirmed_at:
            self._confirmed = True
            self._confirmed_at = confirmed_at
            self._wait = self._draw_wait()

    def schedule_now(self) -> None:
        """Make a poll due now, or after a poll in progress or a failure's pause."""
        self._requested_again = self._in_progress
        self._wait = 0.0

    def due(self) -> bool:
        """Return whether to poll the store now."""
        now = self._clock.now()
        wait_is_over = now - self._confirmed_at >= self._wait
        return wait_is_over and not self._in_progress and now >= self._retry_at

    def begin(self) -> None:
        """Record that a poll was sent."""
        self._in_progress = True
        self._polled_at = self._clock.now()

    def end(self, succeeded: bool) -> None:
        """Record whether the poll succeeded.

        The store may have read the version at any time since the poll was sent, so
        the confirmation counts from when it was sent.
        """
        self._in_progress = False
        if succeeded:
            self._retry_pause = _FIRST_RETRY_S
            self.on_confirmation(self._clock.now() - self._polled_at)
            if self._requested_again:
                self._wait = 0.0
            self._requested_again = False
            return
        self._retry_at = self._clock.now() + self._retry_pause * self._random.uniform(
            0.7, 1.3
        )
        self._retry_pause = min(_MAX_RETRY_S, 2 * self._retry_pause)

    def _draw_wait(self) -> float:
        # The density of the waits grows exponentially towards the end of the spread:
        # of n waits few end early, and the first ends before most others are near
        # their end, so that its confirmation can still suppress them.
        rate = log(self._group_size) + 1
        fraction = max(0.0, 1 + log(1 - self._random.random()) / rate)
        minimum = _MIN_WAIT_S if self._outsider_wait is None else self._outsider_wait
        return minimum + _WAIT_SPREAD_S * fraction
