"""Tests of the messages about retirements that a node receives over a link."""

import msgpack
from rattanfork_core.revision import RevisionState

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.config.tests.fakes import wait_until
from rattanfork_node.peer import (
    PersistReply,
    PersistRequest,
    RetirementsReply,
    RetirementsRequest,
    decode_message,
    encode_message,
)
from rattanfork_node.relay import RelayPeerHandler
from rattanfork_node.relay.tests.fakes import FakeLink, GateHarness, on_loop
from rattanfork_node.telemetry import Counters


class FakeRetirements:
    """Task whose store accepts every retirement with a valid start."""

    async def write_for_peer(self, request: PersistRequest) -> bool:
        if request.born < 0:
            raise ValueError("retirement: start as integer from 0 on expected")
        return True

    def reply(self, number: int) -> RetirementsReply:
        return RetirementsReply(number, True, [["n1", "u1", 7]])


class Peer:
    """A node that handles what a link delivers."""

    def __init__(self) -> None:
        gate = GateHarness()
        self.counters = Counters()
        self.handler = RelayPeerHandler(
            gate.clock,
            gate.gate,
            ConfigurationHolder(lambda _: None),
            RevisionState(),
            self.counters,
        )
        self.handler.set_retirement_task(FakeRetirements())
        self.link = FakeLink("n2@b")


def transmit(message):
    """Return a message as the other side decodes it."""
    return decode_message(msgpack.unpackb(encode_message(message)))


@on_loop
async def test_retirement_is_written_for_a_peer():
    peer = Peer()
    peer.handler.on_persist(peer.link, transmit(PersistRequest(1, "n2", "u1", 7)))
    await wait_until(lambda: peer.link.sent)
    assert transmit(peer.link.sent[0]) == PersistReply(1, True)


@on_loop
async def test_malformed_retirement_is_not_reported_as_stored():
    """Guards against an acknowledgement for a row that was never written."""
    peer = Peer()
    peer.handler.on_persist(peer.link, PersistRequest(1, "n2", "u1", -1))
    await wait_until(lambda: peer.link.sent)
    assert peer.link.sent == [PersistReply(1, False)]
    assert peer.counters.events["peer.bad-frame"] == 1


def test_peer_gets_the_whole_table():
    peer = Peer()
    peer.handler.on_retirements(peer.link, transmit(RetirementsRequest(3)))
    reply = transmit(peer.link.sent[0])
    assert (reply.number, reply.complete) == (3, True)
    assert reply.retirements == [["n1", "u1", 7]]
