"""Keeps the proof recent that a node's configuration is the newest."""

from collections.abc import Callable
from math import ceil, inf, isfinite
from random import Random

from rattanfork_core.membership import (
    UNKNOWN_AGE_MS,
    LeaseReply,
    LeaseRequest,
    Member,
    Membership,
    RoleAssignment,
)
from rattanfork_core.revision import ConfigurationLease

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.member import GossipTask

#: Age of the proof, in seconds, from which a peer is asked for a newer one, and
#: seconds between two requests.
_RENEW_AFTER = 0.6
_PAUSE = 0.25
#: Peers that are asked while nobody is known to have a newer one.
_ASKED = 2
#: Age, in seconds, from which a node asks the store itself: a reader, and any other.
_READER_ASKS_AFTER = 1.5
_OTHER_ASKS_AFTER = 2.5
#: Seconds by which a peer's proof has to be newer to be worth a request.
_WORTHWHILE = 0.2


class LeaseTask:
    """Renews a lease on the configuration from peers, and from the store without them.

    Explanation
    ===========

    Readers ask the store in turn, and report on the datagrams of the membership how
    lately they did.  A node asks the peer that reported the newest proof for it, so
    what the store is asked does not grow with the fleet.

    Parameters
    ==========

    random : Random
        Source of the choice whom to ask.
    lease : ConfigurationLease
        The lease.
    configuration : ConfigurationHolder
        The configuration in force.
    membership : Membership
        Who is there.
    roster : RoleAssignment
        Who asks the store in turn.
    member_task : GossipTask
        Sends and receives datagrams.
    ask_store : callable
        Has this node ask the store soon.
    """

    def __init__(
        self,
        random: Random,
        lease: ConfigurationLease,
        configuration: ConfigurationHolder,
        membership: Membership,
        roster: RoleAssignment,
        member_task: GossipTask,
        ask_store: Callable[[], None],
    ) -> None:
        self._random = random
        self._lease = lease
        self._configuration = configuration
        self._membership = membership
        self._roster = roster
        self._member_task = member_task
        self._ask_store = ask_store
        self._next_request = -inf
        self._next_store = -inf
        self._urgent = False
        #: The peer that reported the newest proof, and when that was made.
        self._freshest: Member | None = None
        self._proven_at = -inf
        #: Called when the proof became newer.
        self.on_renewed: Callable[[], None] = _nothing
        member_task.on_confirmed = self.on_reported
        member_task.direct[LeaseRequest] = self.on_request
        member_task.direct[LeaseReply] = self.on_reply

    def on_reported(self, sender: Member, age: int) -> None:
        """Take note of the age of a peer's proof, in milliseconds."""
        proven_at = self._lease.now() - age / 1000
        if age != UNKNOWN_AGE_MS and proven_at > self._proven_at:
            self._freshest, self._proven_at = sender, proven_at

    def on_request(self, request: LeaseRequest, address: tuple[str, int]) -> None:
        """Reply with the age of the own proof."""
        age = self._lease.age
        milliseconds = ceil(age * 1000) if isfinite(age) else UNKNOWN_AGE_MS
        version = self._configuration.version
        self._member_task.send(
            LeaseReply(request.number, version, milliseconds), address
        )

    def on_reply(self, reply: LeaseReply, address: tuple[str, int]) -> None:
        """Take in a peer's proof."""
        if reply.version > self._configuration.version:
            # The peer's proof is of a configuration that is not held here yet.
            self._member_task.note_configuration(reply.version)
        elif reply.age != UNKNOWN_AGE_MS and self._lease.on_reply(
            reply.number, reply.age / 1000
        ):
            self.on_renewed()

    def renew_soon(self) -> None:
        """Ask at the next tick, as a request waits for a newer proof."""
        self._urgent = True

    def tick(self) -> None:
        """Ask if the proof grows old; call ten times a second."""
        current = self._configuration.current
        if current is None or current.accounts is None:
            return
        now, age = self._lease.now(), self._lease.age
        due = age > _RENEW_AFTER and now >= self._next_request
        if due or self._urgent:
            self._urgent = False
            self._next_request = now + _PAUSE * self._random.uniform(0.8, 1.2)
            for member in self._peers(now - age):
                number = self._lease.start_request()
                self._member_task.send(LeaseRequest(number), member.address)
        asks_after = (
            _READER_ASKS_AFTER if self._roster.includes_self else _OTHER_ASKS_AFTER
        )
        if age > asks_after and now >= self._next_store:
            self._next_store = now + self._random.uniform(0.5, 1.5)
            self._ask_store()

    def _peers(self, confirmed_at: float) -> list[Member]:
        """Return the peer that reported a newer proof, or readers at random."""
        if self._freshest is not None and self._proven_at > confirmed_at + _WORTHWHILE:
            return [self._freshest]
        others = self._roster.others
        names = self._random.sample(others, min(_ASKED, len(others)))
        members = self._membership.members
        return [members[name] for name in names if name in members]


def _nothing() -> None:
    pass
