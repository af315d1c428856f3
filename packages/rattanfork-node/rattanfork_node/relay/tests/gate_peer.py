"""A peer node with a real gate and message handler, connected without sockets."""

import asyncio

from rattanfork_core.request import FenceVerdict
from rattanfork_core.revision import RevisionState

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.peer import Cancel, Fence, LinkLostError, RunReply
from rattanfork_node.relay import RelayPeerHandler
from rattanfork_node.relay.tests.fakes import FakeLink, GateHarness, RelayHarness
from rattanfork_node.telemetry import Counters


class _GateSideLink:
    """The peer's side of a link: passes replies to the entry node's side."""

    peer_level = 1
    is_writable = True

    def __init__(self, link: "GateLink", connection_id: str) -> None:
        self.connection_id = connection_id
        self.peer = "me@b1"
        self.calls: dict = {}
        self.bodies: dict = {}
        self._link = link

    def send_batched(self, reply: RunReply) -> None:
        self._link.on_reply(reply)


class GateLink(FakeLink):
    """Link to a peer whose gate is real; it may be paused, killed or outdated."""

    def __init__(self, peer: str, slots: int) -> None:
        super().__init__(peer)
        self.gate_harness = GateHarness(slots)
        self.gate_harness.gate._boot = "b"
        self.handler = RelayPeerHandler(
            self.gate_harness.clock,
            self.gate_harness.gate,
            ConfigurationHolder(lambda _: None),
            RevisionState(),
            Counters(),
        )
        self._far = _GateSideLink(self, self.connection_id)
        self.handler.on_open(self._far)
        self._waiting_replies: dict = {}
        self._unread: list = []
        self.paused = False
        self.lost = False
        #: Whether the peer ignores cancels, as the strictest earlier version might.
        self.ignores_cancels = False

    def send_run(self, run, done) -> None:
        super().send_run(run, done)
        self._waiting_replies[run.number] = done
        self._deliver(run)

    def send(self, message) -> None:
        super().send(message)
        self._deliver(message)

    def forget(self, number) -> None:
        super().forget(number)
        self._waiting_replies.pop(number, None)

    def on_reply(self, reply: RunReply) -> None:
        done = self._waiting_replies.pop(reply.number, None)
        if done is not None and not self.lost:
            done(reply)

    def break_off(self) -> None:
        """Lose the connection at the entry node; the peer has not noticed yet."""
        self.lost = True
        waiting, self._waiting_replies = self._waiting_replies, {}
        for done in waiting.values():
            done(None)

    def resume(self) -> None:
        """Let a paused peer read what it has received meanwhile."""
        self.paused = False
        unread, self._unread = self._unread, []
        for message in unread:
            self._deliver(message)

    def fence(self, numbers: list[int]) -> list[FenceVerdict]:
        """Return the verdicts of the peer on a fence over another connection."""
        return self.handler.fence_connection(Fence(1, self.connection_id, numbers))

    @property
    def upstream_requests(self) -> list[bytes]:
        """Requests that the peer has written to its upstream."""
        return [c.sent for c in self.gate_harness.pool.connections if c.sent]

    def _deliver(self, message) -> None:
        if self.paused:
            self._unread.append(message)
        elif isinstance(message, Cancel):
            if not self.ignores_cancels:
                self.handler.on_cancel(self._far, message.number)
        else:
            self.handler.on_run(self._far, message)


class GatePeerHarness(RelayHarness):
    """An entry node and one peer of service ``t`` with a gate of few slots."""

    def __init__(self, slots: int = 1, **route) -> None:
        super().__init__(peers=1, **{"idempotent": False, "timeout": 0.3, **route})
        [name] = self.pool.links
        self.link = self.pool.links[name] = GateLink(name, slots)
        self.peer = self.link.gate_harness
        self.fence_answered = True
        self.pool.fence_calls = self._fence_calls

    def occupy_slot(self) -> None:
        """Let another request run at the peer's upstream."""
        self.peer.submit("other", boot="b")

    def advance(self, seconds: float) -> None:
        """Advance the clocks of both nodes."""
        self.clock.advance(seconds)
        self.peer.clock.advance(seconds)

    async def _fence_calls(self, member, connection, calls) -> list:
        await asyncio.sleep(0)
        if not self.fence_answered:
            raise LinkLostError("connection refused")
        return self.link.fence(calls)
