"""When a node compares its whole view, and with whom."""

from collections.abc import Iterable
from random import Random

from rattanfork_core.clock import Clock
from rattanfork_core.membership.member import Member

Address = tuple[str, int]

#: Seconds between two comparisons of a node that knows the others.
_INTERVAL = 10.0
#: Seconds between tries of a node that knows nobody, and before the first
#: further try of a seed that nobody known stands at.
_FIRST_PAUSE = 0.3
#: Part of the comparisons that go to a member, while all seeds are known.
_MEMBER_SHARE = 0.9
#: Part that goes to a seed nobody known stands at, once it was tried often:
#: it may be gone for good, and views must still be compared.
_MISSING_SHARE = 0.5
_JITTER = (0.7, 1.3)


class SyncSchedule:
    """Spaces the comparisons of whole views, and chooses whom to ask.

    Explanation
    ===========

    A seed that was down is asked again soon, with pauses that double.  When
    all nodes start at once the seed may be the last to listen: the others
    have found each other by then, and the seed, which has no seed of its
    own, knows nobody.  Asked as seldom as any member, it stayed alone for
    minutes, and its upstream served nobody.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of choices and jitter.
    seeds : iterable of pairs
        Addresses of peer ports through which to join.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> schedule = SyncSchedule(ManualClock(), Random(1), [("127.0.0.1", 7)])
    >>> me = Member("a", "x", "s", "dc", "127.0.0.1", 1, 1, 8)
    >>> schedule.due()
    True
    >>> schedule.begin(me, [me])
    ('127.0.0.1', 7)
    >>> schedule.due()
    False
    """

    def __init__(
        self, clock: Clock, random: Random, seeds: Iterable[Address] = ()
    ) -> None:
        self._clock = clock
        self._random = random
        self._seeds = list(seeds)
        self._next = clock.now()
        self._under_way = False
        self._seed_pause = _FIRST_PAUSE

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Take further seeds, and ask soon."""
        self._seeds = list({*self._seeds, *seeds})
        self._seed_pause = _FIRST_PAUSE
        self._next = self._clock.now()

    def due(self) -> bool:
        """Return whether to compare now."""
        return not self._under_way and self._clock.now() >= self._next

    def begin(self, me: Member, present: Iterable[Member]) -> Address | None:
        """Take note that a comparison begins; return whom to ask, if anybody."""
        self._under_way = True
        others = [(m.host, m.peer_port) for m in present if m.name != me.name]
        mine = (me.host, me.peer_port)
        missing = self._missing(mine, others)
        if missing and (not others or self._asks_missing()):
            return self._random.choice(missing)
        if others and self._random.random() < _MEMBER_SHARE:
            return self._random.choice(others)
        seeds = [seed for seed in self._seeds if seed != mine]
        # Also once in a while when all is well: the only way two groups that
        # have forgotten each other can meet again.
        return self._random.choice(seeds) if seeds else None

    def end(self, me: Member, present: Iterable[Member]) -> None:
        """Take note that a comparison has ended, well or not."""
        self._under_way = False
        others = [(m.host, m.peer_port) for m in present if m.name != me.name]
        pause = _INTERVAL
        if not others:
            pause = _FIRST_PAUSE
        elif self._missing((me.host, me.peer_port), others):
            pause = self._seed_pause = min(_INTERVAL, 2 * self._seed_pause)
        self._next = self._clock.now() + pause * self._random.uniform(*_JITTER)

    def _asks_missing(self) -> bool:
        tried_often = self._seed_pause >= _INTERVAL
        return not tried_often or self._random.random() < _MISSING_SHARE

    def _missing(self, mine: Address, others: list[Address]) -> list[Address]:
        known = {mine, *others}
        return [seed for seed in self._seeds if seed not in known]
