"""Route path: handles messages from other nodes."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from rattanfork_core.advertised import UpstreamReport
from rattanfork_core.clock import Clock
from rattanfork_core.request import CallResult, Reason
from rattanfork_core.request.importance import RANK_LIMIT
from rattanfork_core.revision import RevisionState

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.peer import (
    MAX_UNPAUSED_BYTES,
    REPLY_PARTS_LEVEL,
    BasePeerHandler,
    BodyPart,
    BodyStart,
    BurnRequest,
    Call,
    ConfigurationReply,
    ConfigurationRequest,
    EpochRequest,
    Fence,
    FenceKey,
    FenceReply,
    FrameError,
    PeerLink,
    PersistReply,
    PersistRequest,
    RetirementsRequest,
    Run,
    RunReply,
)
from rattanfork_node.relay.gate import Gate
from rattanfork_node.relay.job import Job
from rattanfork_node.relay.remote_body import RemoteBody
from rattanfork_node.telemetry import Counters

if TYPE_CHECKING:
    from rattanfork_node.member.retirement_task import RetirementTask


#: Size in bytes up to which the body of a request is not counted.
_MIN_COUNTED_BYTES = 4 << 10


class RelayPeerHandler(BasePeerHandler):
    """Handles runs, cancels, fences and configuration requests from peer nodes.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    gate : Gate
        This node's gate.
    configuration : ConfigurationHolder
        The configuration in force.
    rules : RevisionState
        The ordered rules in force.
    counters : Counters
        Counts fences.
    """

    def __init__(
        self,
        clock: Clock,
        gate: Gate,
        configuration: ConfigurationHolder,
        rules: RevisionState,
        counters: Counters,
    ) -> None:
        super().__init__(rules, counters)
        self._clock = clock
        self._gate = gate
        self._configuration = configuration
        self._retirements: RetirementTask | None = None
        self._background: set[asyncio.Task] = set()

    def set_retirement_task(self, retirements: RetirementTask) -> None:
        """Set the task that keeps retirements, which is created after this handler."""
        self._retirements = retirements

    def on_run(self, link: PeerLink, run: Run) -> None:
        """Submit a run to the gate."""
        call_log = self.register_request(link, run.number)
        if not 0 <= run.rank < RANK_LIMIT:
            raise FrameError("rank of a run is out of range")
        if not run.account.isprintable():
            raise FrameError("account name is not printable")
        body = link.bodies.get(run.number)
        job = Job(
            run.boot,
            run.route,
            run.method,
            run.target,
            run.block,
            run.body,
            run.request_id,
            run.rank,
            self._clock.now() + run.time_left_ms / 1000,
            run.idempotent,
            run.repeated,
            run.may_have_arrived,
            run.attempt,
            partial(self._reply, link, run.number, run.route),
            partial(call_log.hand_over, run.number),
            link.peer,
            run.account,
            _counted_bytes(run, body),
            large_body=body,
            large_fingerprint=0 if body is None else body.fingerprint,
        )
        link.calls[run.number] = job
        if run.upstream:
            report = UpstreamReport(run.upstream, run.born, run.rate_limit, run.leaving)
            self._gate.advertised.on_report(report, link.peer)
        self._gate.submit(job)

    def on_body_start(self, link: PeerLink, start: BodyStart) -> None:
        """Expect the body of a run in parts."""
        if start.number in link.bodies:
            raise FrameError("a body was announced twice")
        link.bodies[start.number] = RemoteBody(link, start)

    def on_body_part(self, link: PeerLink, part: BodyPart) -> None:
        """Receive a part of a body; it is dropped if its run has ended."""
        body = link.bodies.get(part.number)
        if body is not None:
            body.on_part(part)

    def on_cancel(self, link: PeerLink, number: int) -> None:
        """Cancel a run."""
        job = link.calls.get(number)
        if job is not None:
            self._gate.cancel(job)

    def on_fence(self, link: PeerLink, fence: Fence | FenceKey) -> None:
        """Fence calls and reply with the verdicts."""
        self._counters.events["fences"] += 1
        if isinstance(fence, FenceKey):
            raise FrameError("fencing by key is not supported by a routing node")
        verdicts = [int(verdict) for verdict in self.fence_connection(fence)]
        link.send(FenceReply(fence.number, verdicts))

    def on_configuration(self, link: PeerLink, request: ConfigurationRequest) -> None:
        """Reply with the configuration in force, if it is newer than the peer's."""
        holder = self._configuration
        newer = holder.version > request.known
        document = holder.document if newer else b""
        link.send(ConfigurationReply(request.number, holder.version, document))

    def on_retirements(self, link: PeerLink, request: RetirementsRequest) -> None:
        """Reply with the retirements that this node knows."""
        link.send(self._retirements.reply(request.number))

    def on_persist(self, link: PeerLink, request: PersistRequest) -> None:
        """Write a retirement to the store, and reply whether it is stored."""
        task = asyncio.ensure_future(self._persist(link, request))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def on_closed(self, link: PeerLink) -> None:
        """Cancel the runs received over a link that was closed."""
        super().on_closed(link)
        for job in list(link.calls.values()):
            self._gate.cancel(job)
        link.bodies.clear()

    def on_call(self, link: PeerLink, call: Call) -> None:
        """Reject requests of the call path: only nodes without routes serve them."""
        raise FrameError(
            "calls are served only by nodes without routes; a run is expected"
        )

    def on_burn(self, link: PeerLink, request: BurnRequest) -> None:
        """Reject requests for error budget burn: totals are not kept here."""
        raise FrameError("burn totals are not kept by a routing node")

    def on_epoch(self, link: PeerLink, request: EpochRequest) -> None:
        """Reject requests for key epochs: keys are not issued here."""
        raise FrameError("keys are not issued by a routing node")

    async def _persist(self, link: PeerLink, request: PersistRequest) -> None:
        try:
            stored = await self._retirements.write_for_peer(request)
        except ValueError as error:
            self.on_bad_frame(str(error))
            stored = False
        link.send(PersistReply(request.number, stored))

    def _reply(
        self, link: PeerLink, number: int, operation: str, result: CallResult
    ) -> None:
        gate = self._gate
        link.calls.pop(number, None)
        link.bodies.pop(number, None)
        report = ()
        reason = result.reason
        if link.peer_level:
            report = gate.advertised.report() or ()
        elif reason is Reason.UPSTREAM_LIMIT:
            reason = Reason.SHED
        parts = self._body_parts(link, result)
        reply = RunReply(
            number,
            int(result.outcome),
            int(reason),
            result.status,
            result.block,
            b"" if parts else result.body,
            result.retry_elsewhere,
            float(gate.threshold(operation)),
            gate.outstanding,
            list(result.services_reached),
            *report,
        )
        if not parts:
            link.send_batched(reply)
        elif link.peer_level < REPLY_PARTS_LEVEL:
            link.send_batched(reply._replace(body=b"".join(parts)))
        else:
            link.send_reply(reply, parts)

    def _body_parts(self, link: PeerLink, result: CallResult) -> list[bytes] | None:
        """Return the body if it follows its reply in parts.

        On a link whose peer does not read, all but the smallest bodies are held back so
        that its buffer stays small.
        """
        parts = result.body_parts
        if parts is not None or link.is_writable:
            return parts
        return [result.body] if len(result.body) > MAX_UNPAUSED_BYTES else None


def _counted_bytes(run: Run, body: RemoteBody | None) -> int:
    """Return the bytes of a run's body that count against the gate's bound."""
    if body is not None:
        return body.max_held_bytes
    return len(run.body) if len(run.body) > _MIN_COUNTED_BYTES else 0
