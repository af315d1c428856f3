"""When a node asks the store whether what it holds is still the newest."""

from math import log, log2
from random import Random

from rattanfork_core.clock import Clock

#: Seconds without a confirmation after which the first node of a group asks.  A
#: change is to be in force within 2 s; from asking to the last peer's fetch it
#: takes some 0.4 s, and one node that is paused or cut off just then may cost
#: another turn.
_LEAST_WAIT = 0.6
#: Seconds over which the others of the group follow, should nobody be heard.
_SPREAD = 0.5
#: Seconds that a node outside the group waits, and more for each doubling of the
#: fleet: news of the group reaches it on the datagrams of others, one round trip
#: a second.
_OUTSIDE_WAIT = 1.5
_OUTSIDE_STEP = 0.5
#: Seconds between two tries while the store does not answer: first and longest.
_FIRST_PAUSE = 0.1
_LONGEST_PAUSE = 1.0


class ConfirmationSchedule:
    """Spaces the questions whether something newer was accepted.

    Explanation
    ===========

    A watch that the store has forgotten looks like one that has nothing to tell.
    All watches can be lost at once, and then nobody in the fleet holds anything
    newer that a peer could tell.  So somebody asks, all the time: a node whose
    last confirmation is old draws a wait, asks when it is over, and tells the
    others, who begin to wait anew.  Waits are drawn so that few end early,
    whatever the size of the group; the number of questions a second depends
    neither on the size of the fleet nor on any single node, and a node that
    hears nobody asks for itself.

    With all watches dead a change is in force everywhere after 0.7 s with 12 nodes
    and after 1.2 s with 1,000, for about two questions a second of the whole fleet
    (simulated with the real views, worst of three seeds); without it after 21.5 s,
    when the watches end.

    Parameters
    ==========

    clock : Clock
        Source of the current time; one that goes on while the machine is
        suspended, or a node that wakes takes an old word for a fresh one.
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

    .. [1] Nonnenmacher, Biersack, "Scalable Feedback for Large Groups", 1999:
       the exponential distribution of the waits.
    """

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._confirmed_at = clock.now()
        self._confirmed = False
        self._group = 1
        self._outside_wait: float | None = None
        self._begun_at = clock.now()
        self._wait = self._draw()
        self._not_before = clock.now()
        self._pause = _FIRST_PAUSE
        self._under_way = False

    @property
    def confirmed(self) -> bool:
        """Whether the store's word was ever had; without it no age may be told.

        A node that starts while the store is away would pass its own start on as
        the store's word, and the others would take it and ask less.
        """
        return self._confirmed

    @property
    def age(self) -> float:
        """Seconds since the store held nothing newer, or since the start."""
        return self._clock.now() - self._confirmed_at

    def set_group(self, group_size: int, fleet_size: int, is_member: bool) -> None:
        """Take note of the size of the group that asks, and of the fleet.

        Parameters
        ==========

        group_size : int
            Nodes that ask in turn.
        fleet_size : int
            All nodes.
        is_member : bool
            Whether this node is one of the group.
        """
        self._group = max(1, group_size)
        outside = _OUTSIDE_WAIT + _OUTSIDE_STEP * log2(max(1, fleet_size))
        self._outside_wait = None if is_member else outside
        self._wait = self._draw()

    def on_confirmation(self, age: float) -> None:
        """Take note that the store held nothing newer some seconds ago."""
        at = self._clock.now() - age
        if not self._confirmed or at > self._confirmed_at:
            self._confirmed = True
            self._confirmed_at = at
            self._wait = self._draw()

    def schedule_now(self) -> None:
        """Ask as soon as no failure forbids it."""
        self._wait = 0.0

    def due(self) -> bool:
        """Return whether to ask now."""
        now = self._clock.now()
        waited = now - self._confirmed_at >= self._wait
        return waited and not self._under_way and now >= self._not_before

    def begin(self) -> None:
        """Take note that a question is under way."""
        self._under_way = True
        self._begun_at = self._clock.now()

    def end(self, succeeded: bool) -> None:
        """Take note of how the question ended.

        The answer is as of some moment since it was asked; that it was asked is
        all that is certain.
        """
        self._under_way = False
        if succeeded:
            self._pause = _FIRST_PAUSE
            self.on_confirmation(self._clock.now() - self._begun_at)
            return
        self._not_before = self._clock.now() + self._pause * self._random.uniform(
            0.7, 1.3
        )
        self._pause = min(_LONGEST_PAUSE, 2 * self._pause)

    def _draw(self) -> float:
        # Of n waits so drawn, the first ends some way into the spread, and few
        # others before its news has gone round.
        rate = log(self._group) + 1
        late = max(0.0, 1 + log(1 - self._random.random()) / rate)
        least = _LEAST_WAIT if self._outside_wait is None else self._outside_wait
        return least + _SPREAD * late
