"""At-most-once execution under delays, lost connections and node restarts."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)
from rattanfork_core.clock import ManualClock
from rattanfork_core.idempotency import (
    AlreadyAnswered,
    JoinRunning,
    KeyRegistry,
    RefuseKey,
    RunNow,
    Ticket,
)
from rattanfork_core.request import CallResult, FenceVerdict, Outcome, Reason

CALLERS = ("clerk", "treasurer")


class AtMostOnce(RuleBasedStateMachine):
    """Restarting nodes, and duplicates of requests that arrive at any time.

    Guards against writes that run twice, or run after their caller received
    "not run".  Causes are duplicates delayed at paused nodes, fences by other
    nodes, lost responses, and nodes that lose their state in a restart.
    """

    keys = Bundle("keys")

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.boots = 0
        self.runs: dict[str, int] = {}
        self.reported_not_run: set[str] = set()
        self.waiting: list = []
        self.running: list = []
        self.restart_node()

    def restart_node(self) -> None:
        self.boots += 1
        self.registry = KeyRegistry(
            self.clock, "g", f"b{self.boots}", epoch_seconds=10, epoch_keys=4
        )
        # Runs continue at the upstream, but the old process hands over no
        # further requests.
        self.waiting.clear()
        self.running.clear()

    @rule(target=keys, n=st.integers(0, 10**6))
    def issue(self, n):
        boot = f"b{self.boots}"
        return Ticket("claims", "g", boot, self.registry.epoch, n)

    @rule(ticket=keys, caller=st.sampled_from(CALLERS))
    def arrive(self, ticket, caller):
        key = repr(ticket)
        verdict = self.registry.on_request(key, ticket, caller, 1)
        if isinstance(verdict, RunNow):
            self.waiting.append(verdict.record)
        elif isinstance(verdict, RefuseKey):
            if verdict.outcome is Outcome.NOT_RUN and verdict.reason is Reason.FENCED:
                self.reported_not_run.add(key)
        elif isinstance(verdict, AlreadyAnswered):
            assert verdict.result.body == f"{key} for {caller}".encode()
        else:
            assert isinstance(verdict, JoinRunning)
            assert verdict.record.caller == caller

    @rule(data=st.data())
    def hand_over(self, data):
        if self.waiting:
            record = data.draw(st.sampled_from(self.waiting))
            if self.registry.hand_over(record):
                self.runs[record.key] = self.runs.get(record.key, 0) + 1
                self.running.append(record)

    @rule(data=st.data())
    def refuse_waiting(self, data):
        if self.waiting:
            record = data.draw(st.sampled_from(self.waiting))
            if self.registry.refuse(record):
                self.reported_not_run.add(record.key)

    @rule(data=st.data(), lost=st.booleans())
    def upstream_ends(self, data, lost):
        if self.running:
            record = self.running.pop(data.draw(st.integers(0, len(self.running) - 1)))
            body = f"{record.key} for {record.caller}".encode()
            if lost:
                self.registry.on_connection_lost(record)
            else:
                result = CallResult(Outcome.ANSWERED, status=200, body=body)
                self.registry.store_answer(record, result)

    @rule(ticket=keys)
    def fence(self, ticket):
        key = repr(ticket)
        if self.registry.fence(key, ticket) is FenceVerdict.NOT_RUN:
            self.reported_not_run.add(key)

    @rule(seconds=st.sampled_from([0.1, 5.0, 11.0, 100.0]))
    def pause(self, seconds):
        self.clock.advance(seconds)

    @rule()
    def kill(self):
        self.restart_node()

    @invariant()
    def no_key_runs_twice(self):
        assert all(count == 1 for count in self.runs.values())

    @invariant()
    def key_reported_not_run_has_not_run(self):
        assert not self.reported_not_run & set(self.runs)

    @invariant()
    def memory_is_bounded(self):
        assert self.registry.key_count <= 4 * 4


TestAtMostOnce = AtMostOnce.TestCase


def new_registry() -> KeyRegistry:
    return KeyRegistry(ManualClock(), "g", "b", kept_bytes=100)


def ticket(registry: KeyRegistry, n: int) -> Ticket:
    return Ticket("claims", "g", "b", registry.epoch, n)


def test_duplicate_is_not_run_after_its_response_was_dropped():
    registry = new_registry()
    for n in range(3):
        verdict = registry.on_request(f"k{n}", ticket(registry, n), "clerk", 1)
        registry.hand_over(verdict.record)
        registry.store_answer(
            verdict.record, CallResult(Outcome.ANSWERED, body=b"x" * 60)
        )
    duplicate = registry.on_request("k0", ticket(registry, 0), "clerk", 1)
    assert duplicate.reason is Reason.ANSWER_DROPPED
    assert registry.stored_answer_bytes <= 100


def test_reused_key_with_different_body_is_refused():
    registry = new_registry()
    registry.on_request("k", ticket(registry, 1), "clerk", 1)
    assert (
        registry.on_request("k", ticket(registry, 1), "clerk", 2).reason
        is Reason.KEY_MISUSED
    )


def test_key_of_earlier_incarnation_is_refused():
    registry = new_registry()
    old = Ticket("claims", "g", "before", 1, 1)
    assert registry.on_request("k", old, "clerk", 1).reason is Reason.KEY_EXPIRED
    assert registry.fence("k", old) is FenceVerdict.UNKNOWN
