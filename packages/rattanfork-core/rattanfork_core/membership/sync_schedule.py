"""Schedule of the anti-entropy exchanges of whole views, and their targets."""

from collections.abc import Iterable
from random import Random

from rattanfork_core.clock import Clock
from rattanfork_core.membership.member import Member

Address = tuple[str, int]

#: Seconds between two exchanges in the normal case.
_INTERVAL_S = 10.0
#: Seconds between attempts of a node that knows no other member, and first pause
#: before a missing seed is tried again.
_FIRST_RETRY_S = 0.3
#: Fraction of the exchanges made with a member, not a seed, if no seed is missing.
_MEMBER_FRACTION = 0.9
#: Fraction of the exchanges that still go to a missing seed once its pause has
#: reached the interval: it may have been removed, and views must still be compared.
_MISSING_SEED_FRACTION = 0.5
#: Bounds of the random factor of each pause.
_JITTER = (0.7, 1.3)


class SyncSchedule:
    """Schedules exchanges of whole views, and chooses the node to exchange with.

    Explanation
    ===========

    A seed is missing while no known member has its address.  A missing seed is
    tried again soon, with pauses that double.  This matters if all nodes start
    together and a seed is the last to listen: the others have found each other,
    and the seed, which has no seed of its own, knows no other node and can only be
    contacted by one.  If missing seeds were contacted no more often than members, it
    would stay isolated for minutes, and its upstream would get no requests.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of choices and jitter.
    seeds : iterable of pairs
        Addresses (host and peer port) through which to join.

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
        self._in_progress = False
        self._seed_pause = _FIRST_RETRY_S

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Add seeds, and make an exchange due now."""
        self._seeds = list({*self._seeds, *seeds})
        self._seed_pause = _FIRST_RETRY_S
        self._next = self._clock.now()

    def due(self) -> bool:
        """Return whether to start an exchange now."""
        return not self._in_progress and self._clock.now() >= self._next

    def begin(self, me: Member, present: Iterable[Member]) -> Address | None:
        """Record that an exchange starts; return the address of its peer, if any.

        ``present`` are the members that are not dead.
        """
        self._in_progress = True
        others = [(m.host, m.peer_port) for m in present if m.name != me.name]
        own = (me.host, me.peer_port)
        missing = self._missing_seeds(own, others)
        if missing and (not others or self._prefers_missing_seed()):
            return self._random.choice(missing)
        if others and self._random.random() < _MEMBER_FRACTION:
            return self._random.choice(others)
        seeds = [seed for seed in self._seeds if seed != own]
        # Seeds are also contacted if none is missing: two groups of nodes that have
        # dropped each other's records can find each other in no other way.
        return self._random.choice(seeds) if seeds else None

    def end(self, me: Member, present: Iterable[Member]) -> None:
        """Record that an exchange has ended, whether it succeeded or not."""
        self._in_progress = False
        others = [(m.host, m.peer_port) for m in present if m.name != me.name]
        pause = _INTERVAL_S
        if not others:
            pause = _FIRST_RETRY_S
        elif self._missing_seeds((me.host, me.peer_port), others):
            pause = self._seed_pause = min(_INTERVAL_S, 2 * self._seed_pause)
        self._next = self._clock.now() + pause * self._random.uniform(*_JITTER)

    def _prefers_missing_seed(self) -> bool:
        probably_removed = self._seed_pause >= _INTERVAL_S
        return not probably_removed or self._random.random() < _MISSING_SEED_FRACTION

    def _missing_seeds(self, own: Address, others: list[Address]) -> list[Address]:
        known = {own, *others}
        return [seed for seed in self._seeds if seed not in known]
