"""Datagrams beside members whose records name no address."""

import asyncio
from random import Random

import pytest
import uvloop
from rattanfork_core.clock import MonotonicClock
from rattanfork_core.membership import Membership, RetirementUpdate
from rattanfork_node.config.tests.fakes import member
from rattanfork_node.member import GossipTask
from rattanfork_node.peer import LinkLostError, PeerPool
from rattanfork_node.telemetry import Counters


@pytest.mark.parametrize("host", ["no address", "", "x" * 200, "\0"])
def test_other_members_get_their_datagrams(host):
    """Guards against updates that reach no member because of one of them."""

    async def run():
        loop = asyncio.get_running_loop()
        received = asyncio.Event()

        class Receiver(asyncio.DatagramProtocol):
            def datagram_received(self, data, addr):
                received.set()

        transport, _ = await loop.create_datagram_endpoint(
            Receiver, local_addr=("127.0.0.1", 0)
        )
        port = transport.get_extra_info("sockname")[1]
        clock = MonotonicClock()
        membership = Membership(clock, Random(1), member("n1"))
        counters = Counters()
        task = GossipTask(clock, Random(1), membership, None, b"k", [], counters)
        await task.start("127.0.0.1", 0)
        membership.merge([member("a").replace(host=host)])
        task.introduce()
        membership.merge([member("b").replace(host="127.0.0.1", gossip_port=port)])
        task.send_to_all(RetirementUpdate(()))
        async with asyncio.timeout(5):
            await received.wait()
        assert counters.events["gossip.unusable-address"] == 2
        task.close()
        transport.close()

    uvloop.run(run())


def test_link_to_an_unusable_address_is_lost():
    """Guards against requests that fail in a way that nobody expects."""

    async def run():
        pool = PeerPool(asyncio.Protocol, MonotonicClock(), 1.0)
        for host in ("x" * 200, "\ud800", "\0"):
            with pytest.raises(LinkLostError):
                await pool.open((host, 1))
        pool.close()

    uvloop.run(run())
