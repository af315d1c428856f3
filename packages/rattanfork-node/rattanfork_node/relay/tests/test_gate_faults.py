"""Exhaustive test of all sequences of three events at a gate."""

from collections.abc import Callable
from functools import partial
from itertools import product

import pytest
from rattanfork_core.idempotency import ConnectionCallLog
from rattanfork_core.request import CallResult, FenceVerdict, Outcome

from rattanfork_node.http1 import UpstreamResponse
from rattanfork_node.relay.job import Job
from rattanfork_node.relay.tests.fakes import (
    FakeConnection,
    FakeUpstreamPool,
    GateHarness,
    on_loop,
)
from rattanfork_node.relay.upstream import Upstream

_NOT_RUN = {b"rattanfork-not-run": b"1"}


class GateFaultHarness(GateHarness):
    """A gate with one slot, one request that runs and one that waits."""

    def __init__(self, idempotent: bool, hold_connects: bool) -> None:
        super().__init__(slots=1)
        self.pools = [self.pool]
        self.starts = 1
        self.gate.attach(self.gate.upstream._replace(born=1000), 9)
        self.gate._make_pool = self.make_pool
        self.pool.hold_connects = hold_connects
        self.answers: dict[FakeConnection, UpstreamResponse | None] = {}
        self.call_log = ConnectionCallLog()
        #: IDs of the requests that the gate reported as not run in reply to a fence.
        self.fenced: set[bytes] = set()
        self.jobs: list[tuple[Job, list[CallResult]]] = [
            self.submit(
                name,
                idempotent=idempotent,
                block=b"Id: %b\r\n" % name.encode(),
                may_hand_over=partial(self.call_log.hand_over, number),
            )
            for number, name in enumerate(("first", "second"), 1)
        ]

    @property
    def written(self) -> list[FakeConnection]:
        """Connections to which a request was written."""
        return [c for pool in self.pools for c in pool.connections if c.sent]

    def connect(self, broken: bool = False) -> None:
        """Complete the pending connects, with a connection or a failure."""
        for pool in self.pools:
            pending, pool.pending = pool.pending, []
            for on_connection in pending:
                if broken:
                    on_connection(None)
                    continue
                pool.connections.append(FakeConnection())
                on_connection(pool.connections[-1])

    def answer_all(self, status: int = 0, response_headers: dict | None = None) -> None:
        """Answer the running requests, or close their connections."""
        for connection in self.written:
            if connection.aborted or connection in self.answers:
                continue
            answer = UpstreamResponse(status, b"", b"body", response_headers or {})
            self.answers[connection] = answer if status else None
            connection.done(self.answers[connection])

    def cancel(self, index: int) -> None:
        """Cancel a request, as its sender does."""
        self.gate.cancel(self.jobs[index][0])

    def fence(self) -> None:
        """Fence the connection of both requests, as after its loss."""
        verdicts = self.call_log.fence([1, 2])
        for (job, _), verdict in zip(self.jobs, verdicts, strict=True):
            if verdict is FenceVerdict.NOT_RUN:
                self.fenced.add(job.request_id)

    def replace(self) -> None:
        """Announce another incarnation of the upstream."""
        self.gate.attach(Upstream("u2", "127.0.0.1", 1, 1), 9)

    def make_pool(self, upstream: Upstream, connections: int) -> FakeUpstreamPool:
        """Create the connection pool of an incarnation of the upstream."""
        self.pool = FakeUpstreamPool()
        self.pools.append(self.pool)
        return self.pool

    def restart(self) -> None:
        """Announce that the upstream was restarted with the same ID."""
        self.starts += 1
        born = 1000 * self.starts
        self.gate.attach(self.gate.upstream._replace(slots=1, born=born), 9)

    def wait(self) -> None:
        """Advance the clock past the deadlines of all requests."""
        self.clock.advance(3.0)
        self.gate.tick()

    def settle(self) -> None:
        """Complete all pending connects and requests."""
        for _ in range(4):
            self.connect()
            self.answer_all(200)
        self.wait()

    def proves_not_run(self, connection: FakeConnection) -> bool:
        """Return whether the upstream stated that it did not run a request."""
        answer = self.answers.get(connection)
        return answer is not None and (answer.status == 421 or bool(answer.headers))


EVENTS: dict[str, Callable[[GateFaultHarness], None]] = {
    "connected": lambda h: h.connect(),
    "connect fails": lambda h: h.connect(broken=True),
    "answered": lambda h: h.answer_all(200),
    "upstream fails": lambda h: h.answer_all(500),
    "upstream refuses": lambda h: h.answer_all(503, _NOT_RUN),
    "another incarnation answers": lambda h: h.answer_all(421),
    "connection lost": lambda h: h.answer_all(),
    "first request cancelled": lambda h: h.cancel(0),
    "second request cancelled": lambda h: h.cancel(1),
    "connection of both fenced": lambda h: h.fence(),
    "upstream detached": lambda h: h.gate.detach(),
    "upstream replaced": lambda h: h.replace(),
    "upstream restarted with its ID": lambda h: h.restart(),
    "deadlines pass": lambda h: h.wait(),
}


def check(harness: GateFaultHarness, idempotent: bool) -> None:
    for job, results in harness.jobs:
        assert len(results) == 1, f"{job.request_id}: {len(results)} results"
        sent = [c for c in harness.written if job.request_id in c.sent.split()]
        assert len(sent) <= 1, f"{job.request_id}: sent twice"
        assert not (sent and job.request_id in harness.fenced), "sent after the fence"
        if results[0].outcome is Outcome.NOT_RUN:
            assert all(map(harness.proves_not_run, sent)), (
                "'not run' for a request that may have run"
            )
        if results[0].outcome is Outcome.ANSWERED:
            assert harness.answers[sent[0]].status == results[0].status
        if not idempotent and sent and not harness.proves_not_run(sent[0]):
            not_restarted = harness.starts == 1
            assert not (sent[0].aborted and not_restarted), "non-idempotent run aborted"
    assert harness.gate.outstanding == 0, "a request is still outstanding"
    assert harness.gate._admission.running == 0, "a slot is lost"


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("hold_connects", [True, False])
@on_loop
async def test_any_three_events_give_one_correct_result_and_free_the_slot(
    idempotent, hold_connects
):
    """Three events in any order, with two requests at a gate with one slot.

    Each request gets exactly one result and is written to an upstream at most once.
    "Not run" is reported only if it was never written or the upstream refused it.
    In the end the slot is free.
    """
    for names in product(EVENTS, repeat=3):
        harness = GateFaultHarness(idempotent, hold_connects)
        try:
            for name in names:
                EVENTS[name](harness)
            harness.settle()
            check(harness, idempotent)
        except AssertionError as error:
            raise AssertionError(f"{'; '.join(names)}: {error}") from error
