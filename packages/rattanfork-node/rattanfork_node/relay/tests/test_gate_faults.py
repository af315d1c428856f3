"""Every three events at a gate, in every order."""

from collections.abc import Callable
from itertools import product

import pytest
from rattanfork_core.request import CallResult, Outcome

from rattanfork_node.http1 import UpstreamAnswer
from rattanfork_node.relay.job import Job
from rattanfork_node.relay.tests.fakes import (
    FakeConnection,
    FakeUpstreamPool,
    GateHarness,
    on_loop,
)
from rattanfork_node.relay.upstream import Upstream

_NOT_RUN = {b"rattanfork-not-run": b"1"}


class World(GateHarness):
    """A gate with one slot, a request at it and one behind that."""

    def __init__(self, idempotent: bool, holding: bool) -> None:
        super().__init__(slots=1)
        self.pools = [self.pool]
        self.births = 1
        self.gate.attach(self.gate.upstream._replace(born=1000), 9)
        self.gate._make_pool = self.next_pool
        self.pool.holding = holding
        self.answers: dict[FakeConnection, UpstreamAnswer | None] = {}
        self.jobs: list[tuple[Job, list[CallResult]]] = [
            self.submit(
                name, idempotent=idempotent, block=b"Id: %b\r\n" % name.encode()
            )
            for name in ("first", "second")
        ]

    @property
    def written(self) -> list[FakeConnection]:
        """Connections on which a request was written."""
        return [c for pool in self.pools for c in pool.connections if c.sent]

    def connect(self, broken: bool = False) -> None:
        """Give who waits for a connection one, or none."""
        for pool in self.pools:
            held, pool.held = pool.held, []
            for taken in held:
                if broken:
                    taken(None)
                    continue
                pool.connections.append(FakeConnection())
                taken(pool.connections[-1])

    def end(self, status: int = 0, noted: dict | None = None) -> None:
        """Answer what is at the upstream, or cut its connection."""
        for connection in self.written:
            if connection.aborted or connection in self.answers:
                continue
            answer = UpstreamAnswer(status, b"", b"body", noted or {})
            self.answers[connection] = answer if status else None
            connection.done(self.answers[connection])

    def cancel(self, place: int) -> None:
        """Let the sender of a request give it up."""
        self.gate.cancel(self.jobs[place][0])

    def replace(self) -> None:
        """Let another incarnation of the upstream announce itself."""
        self.gate.attach(Upstream("u2", "127.0.0.1", 1, 1), 9)

    def next_pool(self, upstream: Upstream, connections: int) -> FakeUpstreamPool:
        """Make the pool of an incarnation of the upstream."""
        self.pool = FakeUpstreamPool()
        self.pools.append(self.pool)
        return self.pool

    def bear_again(self) -> None:
        """Let the upstream announce that it started again under its ID."""
        self.births += 1
        born = 1000 * self.births
        self.gate.attach(self.gate.upstream._replace(slots=1, born=born), 9)

    def wait(self) -> None:
        """Let the time of all requests run out."""
        self.clock.advance(3.0)
        self.gate.tick()

    def settle(self) -> None:
        """Let everything that was begun come to its end."""
        for _ in range(4):
            self.connect()
            self.end(200)
        self.wait()

    def proves_not_run(self, connection: FakeConnection) -> bool:
        """Return whether the upstream said that it did not run a request."""
        answer = self.answers.get(connection)
        return answer is not None and (answer.status == 421 or bool(answer.headers))


EVENTS: dict[str, Callable[[World], None]] = {
    "a connection is there": lambda w: w.connect(),
    "no connection can be made": lambda w: w.connect(broken=True),
    "answered": lambda w: w.end(200),
    "the upstream fails": lambda w: w.end(500),
    "the upstream refuses": lambda w: w.end(503, _NOT_RUN),
    "another incarnation answers": lambda w: w.end(421),
    "the connection is cut": lambda w: w.end(),
    "the first is given up": lambda w: w.cancel(0),
    "the second is given up": lambda w: w.cancel(1),
    "the upstream leaves": lambda w: w.gate.detach(),
    "the upstream is replaced": lambda w: w.replace(),
    "the upstream starts again under its ID": lambda w: w.bear_again(),
    "time runs out": lambda w: w.wait(),
}


def check(world: World, idempotent: bool) -> None:
    for job, results in world.jobs:
        assert len(results) == 1, f"{job.request_id}: {len(results)} results"
        sent = [c for c in world.written if job.request_id in c.sent.split()]
        assert len(sent) <= 1, f"{job.request_id}: handed over twice"
        if results[0].outcome is Outcome.NOT_RUN:
            assert all(map(world.proves_not_run, sent)), "'not run' may be false"
        if results[0].outcome is Outcome.ANSWERED:
            assert world.answers[sent[0]].status == results[0].status
        if not idempotent and sent and not world.proves_not_run(sent[0]):
            lived_on = world.births == 1
            assert not (sent[0].aborted and lived_on), "cut off what runs once only"
    assert world.gate.outstanding == 0, "a request is still counted"
    assert world.gate._admission.running == 0, "a slot is lost"


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("holding", [True, False])
@on_loop
async def test_any_three_events_leave_one_true_result_and_no_slot_lost(
    idempotent, holding
):
    """Two requests are at a gate with one slot; three things happen to them.

    Whatever they are and in whatever order, each request has one result; it is
    written to an upstream once at most; "not run" is said only of one that was
    never written, or that the upstream itself refused; and when all has ended
    the slot is free again.
    """
    for names in product(EVENTS, repeat=3):
        world = World(idempotent, holding)
        try:
            for name in names:
                EVENTS[name](world)
            world.settle()
            check(world, idempotent)
        except AssertionError as error:
            raise AssertionError(f"{'; '.join(names)}: {error}") from error
