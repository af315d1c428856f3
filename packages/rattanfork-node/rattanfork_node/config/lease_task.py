"""Renewal of the lease on the configuration."""

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

#: Lease age from which requests for a newer confirmation are sent to peers.
_RENEW_AFTER_S = 0.6
#: Interval between requests to peers.
_REQUEST_INTERVAL_S = 0.25
#: Random readers that receive a request while no peer reports a newer confirmation.
_FALLBACK_PEERS = 2
#: Lease age from which a reader, or any other node, polls the store itself.
_READER_STORE_AFTER_S = 1.5
_OTHER_STORE_AFTER_S = 2.5
#: Least gain in age for which a request is sent to a peer.
_MIN_GAIN_S = 0.2


class LeaseTask:
    """Renews the lease on the configuration from peers, or else from the store.

    Explanation
    ===========

    The lease confirms that the configuration was the newest at a recent time.
    Readers take turns polling the store and gossip the age of their confirmation.
    A node renews from the peer that reported the newest one, so the load on the
    store does not grow with the fleet.

    Parameters
    ==========

    random : Random
        Source of peer choices and jitter.
    lease : ConfigurationLease
        Lease to renew.
    configuration : ConfigurationHolder
        Holder of the configuration in force.
    membership : Membership
        Membership view of this node.
    readers : RoleAssignment
        Readers, which take turns polling the store.
    gossip_task : GossipTask
        Sends and receives gossip messages.
    poll_store : callable
        Makes this node poll the store soon.
    """

    def __init__(
        self,
        random: Random,
        lease: ConfigurationLease,
        configuration: ConfigurationHolder,
        membership: Membership,
        readers: RoleAssignment,
        gossip_task: GossipTask,
        poll_store: Callable[[], None],
    ) -> None:
        self._random = random
        self._lease = lease
        self._configuration = configuration
        self._membership = membership
        self._readers = readers
        self._gossip_task = gossip_task
        self._poll_store = poll_store
        self._next_peer_request = -inf
        self._next_store_request = -inf
        self._urgent = False
        #: Peer that reported the newest confirmation, and the time of the latter.
        self._freshest_peer: Member | None = None
        self._freshest_confirmed_at = -inf
        #: Called when the lease was renewed.
        self.on_renewed: Callable[[], None] = _ignore_renewal
        gossip_task.on_confirmation_age = self.on_confirmation_age
        gossip_task.direct_handlers[LeaseRequest] = self.on_request
        gossip_task.direct_handlers[LeaseReply] = self.on_reply

    def on_confirmation_age(self, sender: Member, age: int) -> None:
        """Record the confirmation age of a peer, in milliseconds."""
        confirmed_at = self._lease.now() - age / 1000
        if age != UNKNOWN_AGE_MS and confirmed_at > self._freshest_confirmed_at:
            self._freshest_peer, self._freshest_confirmed_at = sender, confirmed_at

    def on_request(self, request: LeaseRequest, address: tuple[str, int]) -> None:
        """Reply with the age of the local lease."""
        age = self._lease.age
        milliseconds = ceil(age * 1000) if isfinite(age) else UNKNOWN_AGE_MS
        version = self._configuration.version
        self._gossip_task.send(
            LeaseReply(request.number, version, milliseconds), address
        )

    def on_reply(self, reply: LeaseReply, address: tuple[str, int]) -> None:
        """Renew the lease from the confirmation of a peer."""
        if reply.version > self._configuration.version:
            # The peer confirms a configuration that this node does not hold yet.
            self._gossip_task.observe_configuration(reply.version)
        elif reply.age != UNKNOWN_AGE_MS and self._lease.on_reply(
            reply.number, reply.age / 1000
        ):
            self.on_renewed()

    def renew_soon(self) -> None:
        """Renew at the next tick, as a caller's request waits for it."""
        self._urgent = True

    def tick(self) -> None:
        """Renew an ageing lease; call ten times a second."""
        current = self._configuration.current
        if current is None or current.accounts is None:
            return
        now, age = self._lease.now(), self._lease.age
        due = age > _RENEW_AFTER_S and now >= self._next_peer_request
        if due or self._urgent:
            self._urgent = False
            self._next_peer_request = now + _REQUEST_INTERVAL_S * self._random.uniform(
                0.8, 1.2
            )
            for member in self._renewal_peers(now - age):
                number = self._lease.start_request()
                self._gossip_task.send(LeaseRequest(number), member.address)
        store_after_s = (
            _READER_STORE_AFTER_S
            if self._readers.includes_self
            else _OTHER_STORE_AFTER_S
        )
        if age > store_after_s and now >= self._next_store_request:
            self._next_store_request = now + self._random.uniform(0.5, 1.5)
            self._poll_store()

    def _renewal_peers(self, confirmed_at: float) -> list[Member]:
        """Return the peer with a newer confirmation, or random readers."""
        if (
            self._freshest_peer is not None
            and self._freshest_confirmed_at > confirmed_at + _MIN_GAIN_S
        ):
            return [self._freshest_peer]
        others = self._readers.others
        names = self._random.sample(others, min(_FALLBACK_PEERS, len(others)))
        members = self._membership.members
        return [members[name] for name in names if name in members]


def _ignore_renewal() -> None:
    pass
