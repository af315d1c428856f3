"""Handles the messages that other nodes send to a node."""

import asyncio

from rattanfork_core.burn import BurnMeter
from rattanfork_core.clock import Clock
from rattanfork_core.idempotency import ConnectionCallLog
from rattanfork_core.request import CallResult, Importance
from rattanfork_core.request.importance import RANK_LIMIT
from rattanfork_core.revision import RevisionState

from rattanfork_node.call_gate import CallGate, GateRequest
from rattanfork_node.peer import (
    BasePeerHandler,
    BurnReply,
    BurnRequest,
    Call,
    EpochReply,
    EpochRequest,
    Fence,
    FenceKey,
    FenceReply,
    FrameError,
    PeerLink,
    Reply,
)
from rattanfork_node.telemetry import Counters


class NodePeerHandler(BasePeerHandler):
    """Handles calls, cancellations, fences and queries of other nodes.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    call_gate : CallGate
        Runs calls at this node's upstream.
    rules : RevisionState
        The rules in force.
    burn : BurnMeter
        This node's counts of requests against the objectives.
    counters : Counters
        Event counters.
    """

    def __init__(
        self,
        clock: Clock,
        call_gate: CallGate,
        rules: RevisionState,
        burn: BurnMeter,
        counters: Counters,
    ) -> None:
        super().__init__(rules, counters)
        self._clock = clock
        self._call_gate = call_gate
        self._burn = burn

    def on_call(self, link: PeerLink, call: Call) -> None:
        """Run a call in the background and reply on the link."""
        ledger = self.register_request(link, call.number)
        if not 0 <= call.importance < RANK_LIMIT or not 0 <= call.rank < RANK_LIMIT:
            raise FrameError("importance or rank out of range")
        task = asyncio.ensure_future(self._run(link, call, ledger))
        link.calls[call.number] = task

    def on_cancel(self, link: PeerLink, number: int) -> None:
        """Cancel a call."""
        task = link.calls.get(number)
        if task is not None:
            task.cancel()

    def on_fence(self, link: PeerLink, fence: Fence | FenceKey) -> None:
        """Fence calls or a key and reply with the verdicts."""
        self._counters.events["fences"] += 1
        if isinstance(fence, FenceKey):
            verdicts = [self._call_gate.fence_key(fence.key)]
        else:
            verdicts = self.fence_connection(fence)
        link.send(FenceReply(fence.number, [int(verdict) for verdict in verdicts]))

    def on_burn(self, link: PeerLink, request: BurnRequest) -> None:
        """Reply with this node's totals for the burn report."""
        link.send(BurnReply(request.number, self._burn.totals()))

    def on_epoch(self, link: PeerLink, request: EpochRequest) -> None:
        """Reply with the current key epoch of the call gate."""
        link.send(EpochReply(request.number, self._call_gate.key_registry.epoch))

    def on_closed(self, link: PeerLink) -> None:
        """Cancel the calls of a closed connection."""
        super().on_closed(link)
        for task in list(link.calls.values()):
            task.cancel()

    async def _run(self, link: PeerLink, call: Call, ledger: ConnectionCallLog) -> None:
        def may_hand_over() -> bool:
            return ledger.hand_over(call.number)

        request = GateRequest(
            call.boot,
            call.operation,
            call.method,
            call.path,
            call.headers,
            call.body,
            call.request_id,
            call.caller,
            Importance(call.importance),
            call.rank,
            self._clock.now() + call.time_left_ms / 1000,
            call.attempts,
            call.key,
            call.idempotent,
            may_hand_over,
        )
        try:
            result = await self._call_gate.run(request)
            link.send(self._reply(call, result))
        except asyncio.CancelledError:
            # The sender has cancelled the call or its connection is closed; no
            # reply is expected.
            return
        finally:
            link.calls.pop(call.number, None)

    def _reply(self, call: Call, result: CallResult) -> Reply:
        return Reply(
            call.number,
            int(result.outcome),
            int(result.reason),
            result.status,
            result.headers,
            result.body,
            result.unused_attempts,
            result.retry_elsewhere,
            int(result.retry_after * 1000),
            self._call_gate.threshold(call.operation),
            self._call_gate.key_registry.epoch,
        )
