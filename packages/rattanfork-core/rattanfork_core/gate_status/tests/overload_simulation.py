"""Simulation of overload at the leaf of a call chain.

Callers send requests to entry nodes anywhere in the fleet.  An entry node forwards a
request to an instance of the middle service, which works for a while and then makes
sequential calls to the leaf service.  A request fails if one of its calls is shed
twice.  The decisions are made by the production code: admission at each leaf gate, the
choice of an instance, thresholds on replies, and gossip of gate reports.  Only the
durations of runs are drawn at random.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from rattanfork_core.admission import (
    AdmissionController,
    AdmissionSettings,
    Start,
    Waiter,
)
from rattanfork_core.budgets import GateRetryBudget, ServiceRetryBudget
from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import (
    CallChainThresholds,
    EarlyShedder,
    GateReportTable,
    OperationDependencies,
)
from rattanfork_core.routing import InstancePicker, InstanceState

LEAF, MIDDLE = "leaf", "middle"
LEAF_GATES = 12
SLOTS = 29
#: Speeds of the leaf upstreams, relative to the mean.
SPEEDS = (0.6, 1.0, 1.4)
#: Mean duration of a call, and its timeout, in seconds.
CALL_MEAN = 0.13
CALL_TIMEOUT = 0.7
#: Attempts of a call that gates shed.
MAX_ATTEMPTS = 2
#: Retry budget: retries per request, and retries besides in each window in seconds.
RETRY_RATIO, EXTRA_RETRIES, RETRY_WINDOW = 0.2, 213.0, 10.0
#: Refusals by upstreams, and retries denied by gates, after which a call fails.
MAX_REFUSALS, MAX_DENIALS = 15, 2
#: Seconds that an upstream takes to refuse a call.
REFUSAL_TIME = 0.003
#: Network latency in seconds.
NETWORK_LATENCY = 0.001
TICK = AdmissionController.TICK_SECONDS
#: Members that a node sends reports to at each tick.
FANOUT = 2


@dataclass(frozen=True)
class Kind:
    """A kind of request: its rate, importance and calls.

    ``rate`` is in requests per second.  ``work`` is the mean duration in seconds of the
    work at the middle service, after which ``sequences`` parallel sequences of
    ``calls`` calls each are made to the leaf service.  Without work at the middle
    service, callers request the leaf service.  ``timeout`` is in seconds.
    """

    name: str
    rate: float
    importance: int
    work: float
    calls: int
    sequences: int = 1
    call_mean: float = CALL_MEAN
    timeout: float = 3.0

    @property
    def service(self) -> str:
        """The service that callers send the request to."""
        return MIDDLE if self.work else LEAF


LOOKUP = Kind("lookup", 514.0, 2, 0.6, 4)
FILING = Kind("filing", 253.0, 0, 0.7, 4, sequences=2, timeout=4.0)
SEARCH = Kind("search", 168.0, 1, 0.0, 1, call_mean=0.21, timeout=1.2)
OVERLOAD = (LOOKUP, FILING, SEARCH)


@dataclass(eq=False)
class Request:
    """A request and its progress."""

    kind: Kind
    rank: float
    entry: "Node"
    middle: "Node"
    deadline: float
    sequences_left: int
    failed: bool = False
    leaf_runs: int = 0


@dataclass(eq=False)
class Call:
    """A call to the leaf service; the later calls of its sequence reuse the object."""

    request: Request
    calls_left: int
    tried: frozenset[str] = frozenset()
    sheds: int = 0
    refusals: int = 0
    denials: int = 0
    sent_at: float = 0.0
    done: bool = False


@dataclass
class Outcomes:
    """Outcomes of the requests of one kind, and runs of the calls made for them."""

    sent: int = 0
    refused: int = 0
    succeeded: int = 0
    runs: int = 0
    useful_runs: int = 0


class Gate:
    """A gate of the leaf service with its upstream."""

    def __init__(
        self, simulation: "OverloadSimulation", name: str, speed: float
    ) -> None:
        self.simulation, self.name, self.speed = simulation, name, speed
        self.admission = AdmissionController(
            simulation.clock,
            AdmissionSettings(
                slots=SLOTS,
                queue_ratio=1.5,
                queue_delay=0.2,
                surge_sample=100,
                warmup=0.0,
                adaptive=False,
            ),
        )
        self.calls: dict[int, tuple[Call, Callable]] = {}
        self.keys = count()
        self.retry_grants = GateRetryBudget(
            simulation.clock, RETRY_RATIO, EXTRA_RETRIES, RETRY_WINDOW
        )
        self.retry_grants.set_gate_count(LEAF_GATES)

    def offer(self, call: Call, done: Callable) -> None:
        """Offer a call to admission; ``done`` receives its outcome."""
        now = self.simulation.clock.now()
        request = call.request
        if call.refusals and self.simulation.gates_grant_retries:
            if not self.retry_grants.grant(request.rank):
                self.simulation.after(NETWORK_LATENCY, lambda: done("denied", self))
                return
        elif not call.sheds:
            self.retry_grants.count_request()
        deadline = min(request.deadline, call.sent_at + CALL_TIMEOUT)
        waiter = Waiter(next(self.keys), request.rank, "call", deadline, now)
        self.calls[waiter.key] = (call, done)
        self.apply(self.admission.offer(waiter))

    def tick(self) -> None:
        """Run the periodic work of admission."""
        self.apply(self.admission.tick())

    def apply(self, decisions: Iterable) -> None:
        """Start the admitted calls and reply to those that are shed."""
        for decision in decisions:
            key = decision.waiter.key
            call, done = self.calls.pop(key)
            if isinstance(decision, Start) and self.simulation.refuses():
                self.simulation.after(
                    REFUSAL_TIME, lambda k=key, d=done: self.refuse(k, d)
                )
            elif isinstance(decision, Start):
                mean = call.request.kind.call_mean / self.speed
                seconds = mean * self.simulation.random.lognormvariate(-0.125, 0.5)
                self.simulation.after(
                    seconds, lambda k=key, d=done: self.complete(k, d)
                )
            else:
                self.simulation.after(NETWORK_LATENCY, lambda d=done: d("shed", self))

    def complete(self, key: int, done: Callable) -> None:
        """Complete a run."""
        self.retry_grants.on_attempt(failed=False)
        self.apply(self.admission.finish(key))
        self.simulation.after(NETWORK_LATENCY, lambda: done("ran", self))

    def refuse(self, key: int, done: Callable) -> None:
        """End a run that the upstream refused."""
        self.retry_grants.on_attempt(failed=True)
        self.apply(self.admission.finish(key, succeeded=False))
        self.simulation.after(NETWORK_LATENCY, lambda: done("refused", self))

    @property
    def busy(self) -> int:
        """Number of calls that wait or run."""
        return self.admission.running + self.admission.waiting


class Node:
    """A node: the state that its decisions depend on."""

    def __init__(self, simulation: "OverloadSimulation", name: str) -> None:
        self.simulation, self.name = simulation, name
        self.reports = GateReportTable(simulation.clock, name)
        self.gate: Gate | None = None
        self.dependencies = OperationDependencies()
        self.chain = CallChainThresholds(
            self.reports, self.dependencies, lambda service: LEAF_GATES
        )
        self.entry_shedder = EarlyShedder(simulation.clock)
        self.leaf_shedder = EarlyShedder(simulation.clock)
        share = 0.75 * EXTRA_RETRIES / simulation.size
        self.budget = ServiceRetryBudget(
            simulation.clock, 0.9 * RETRY_RATIO, share, RETRY_WINDOW
        )
        self.picker = InstancePicker(name, "dc", simulation.clock, simulation.random)
        for kind in OVERLOAD:
            self.dependencies.record_run(
                kind.name, [LEAF] if kind.service == MIDDLE else []
            )

    def tick(self) -> None:
        """Update the report of the own gate and forward reports."""
        if self.gate is not None:
            self.reports.update_own(LEAF, self.gate.admission.threshold, impaired=False)
        reports = self.reports.take_fresh()
        if reports:
            for other in self.simulation.random.sample(self.simulation.nodes, FANOUT):
                self.simulation.after(
                    NETWORK_LATENCY, lambda o=other: o.reports.merge(reports)
                )

    def admits(self, kind: Kind, rank: float, middle: "Node") -> bool:
        """Return whether an entry node admits a request."""
        if self.simulation.use_reports and rank >= self.chain.threshold(
            kind.name, kind.service
        ):
            return False
        return (
            self.entry_shedder.shedding_instances(
                self.simulation.middle_picker(self), kind.name, rank
            )
            is not None
        )

    def choose(self, call: Call) -> str | None:
        """Return the leaf instance for a call, or None if there is none."""
        rank = call.request.rank
        kind = call.request.kind.name
        excluded = (
            self.leaf_shedder.shedding_instances(self.picker, kind, rank) or frozenset()
        )
        names = self.picker.states
        if self.simulation.use_reports:
            reported = {n for n in names if self.reports.gate_state(LEAF, n)[0] <= rank}
            excluded = excluded | reported if len(reported) < len(names) else excluded
        return self.picker.pick(call.tried | excluded) or self.picker.pick(call.tried)


@dataclass
class OverloadSimulation:
    """The fleet, its callers, and the outcomes of their requests.

    With ``use_reports`` nodes use the gossiped gate reports, and otherwise only the
    thresholds on their own replies.  With ``gates_grant_retries`` the gates of the leaf
    service grant retries, and otherwise each node has a retry budget.  From second
    ``refusing_from`` on, the leaf upstreams refuse a share ``refusing`` of their calls.
    Outcomes are counted from second ``counted_from`` on.
    """

    size: int
    use_reports: bool = True
    gates_grant_retries: bool = True
    refusing: float = 0.0
    refusing_from: float = 3.0
    seed: int = 1
    kinds: tuple[Kind, ...] = OVERLOAD
    counted_from: float = 3.0
    clock: ManualClock = field(default_factory=lambda: ManualClock(100.0))

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.events: list = []
        self.event_numbers = count()
        self.nodes = [Node(self, f"n{i}@b") for i in range(self.size)]
        self.gates: dict[str, Gate] = {}
        for index, node in enumerate(self.nodes[:LEAF_GATES]):
            speed = SPEEDS[index % len(SPEEDS)]
            node.gate = self.gates[node.name] = Gate(self, node.name, speed)
        self.middle_nodes = self.nodes[LEAF_GATES:] or self.nodes
        for node in self.nodes:
            node.picker.update(InstanceState(name, "dc", SLOTS) for name in self.gates)
        self.middle_pickers: dict[str, InstancePicker] = {}
        self.outcomes = {kind.name: Outcomes() for kind in self.kinds}

    def refuses(self) -> bool:
        """Return whether a leaf upstream refuses a call that starts now."""
        if self.clock.now() - self.began < self.refusing_from:
            return False
        return self.random.random() < self.refusing

    def middle_picker(self, node: Node) -> InstancePicker:
        """Return a node's picker for the instances of the middle service."""
        picker = self.middle_pickers.get(node.name)
        if picker is None:
            picker = InstancePicker(node.name, "dc", self.clock, self.random)
            picker.update(InstanceState(n.name, "dc", 90) for n in self.middle_nodes)
            self.middle_pickers[node.name] = picker
        return picker

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        at = self.clock.now() + seconds
        heappush(self.events, (at, next(self.event_numbers), action))

    def run(self, seconds: float) -> "OverloadSimulation":
        """Run the simulation."""
        self.began = self.clock.now()
        until = self.began + seconds
        by_name = {node.name: node for node in self.nodes}
        self.by_name = by_name
        for kind in self.kinds:
            self.after(
                self.random.expovariate(kind.rate), lambda k=kind: self.arrive(k)
            )
        for node in self.nodes:
            self.every_tick(node.tick)
        for gate in self.gates.values():
            self.every_tick(gate.tick)
        while self.events and self.events[0][0] <= until:
            at, _, action = heappop(self.events)
            self.clock.advance(max(0.0, at - self.clock.now()))
            action()
        return self

    def every_tick(self, action: Callable[[], None]) -> None:
        """Schedule an action at each tick, with a random phase."""

        def repeat() -> None:
            action()
            self.after(TICK, repeat)

        self.after(self.random.uniform(0, TICK), repeat)

    @property
    def counting(self) -> bool:
        """Whether the simulation has left its initial state with empty queues."""
        return self.clock.now() - self.began >= self.counted_from

    def arrive(self, kind: Kind) -> None:
        """Send a request to a random entry node, and schedule the next of its kind."""
        self.after(self.random.expovariate(kind.rate), lambda: self.arrive(kind))
        entry = self.random.choice(self.nodes)
        rank = kind.importance + self.random.random()
        outcomes = self.outcomes[kind.name]
        if self.counting:
            outcomes.sent += 1
        picker = self.middle_picker(entry)
        middle = self.by_name[picker.pick(frozenset())]
        if not entry.admits(kind, rank, middle):
            if self.counting:
                outcomes.refused += 1
            return
        deadline = self.clock.now() + kind.timeout
        request = Request(kind, rank, entry, middle, deadline, kind.sequences)
        work = kind.work * self.random.uniform(0.5, 1.5)
        for _ in range(kind.sequences):
            self.after(work, lambda: self.call(Call(request, kind.calls)))

    def call(self, call: Call) -> None:
        """Send a call to a leaf gate."""
        request = call.request
        if request.failed:
            return
        name = request.middle.choose(call)
        if name is None or self.clock.now() > request.deadline:
            self.fail(request)
            return
        call.sent_at = self.clock.now()
        state = request.middle.picker.states[name]
        state.on_sent(call.sent_at)
        gate = self.gates[name]
        self.after(
            NETWORK_LATENCY,
            lambda: gate.offer(
                call, lambda outcome, at: self.reply(call, state, outcome, at)
            ),
        )
        if not call.sheds and not call.refusals:
            request.middle.budget.count_request()

    def reply(self, call: Call, state: InstanceState, outcome: str, gate: Gate) -> None:
        """Process a gate's reply to a call."""
        request = call.request
        now = self.clock.now()
        state.on_done(now, call.sent_at, failed=False)
        state.busy = gate.busy
        threshold = gate.admission.threshold
        request.middle.leaf_shedder.update(request.kind.name, gate.name, threshold)
        if outcome != "ran":
            call.tried |= {gate.name}
            if len(call.tried) == LEAF_GATES:
                call.tried = frozenset()
            if self.should_retry(call, outcome):
                self.call(call)
            else:
                self.fail(request)
            return
        request.middle.budget.on_attempt(failed=False)
        request.leaf_runs += 1
        if self.counting:
            self.outcomes[request.kind.name].runs += 1
        call.calls_left -= 1
        call.tried = frozenset()
        call.sheds = call.refusals = call.denials = 0
        if call.calls_left:
            self.call(call)
            return
        request.sequences_left -= 1
        if not request.sequences_left and not request.failed:
            self.finish(request, succeeded=True)

    def should_retry(self, call: Call, outcome: str) -> bool:
        """Return whether to retry a call that did not run at another gate."""
        middle, rank = call.request.middle, call.request.rank
        if outcome == "shed":
            call.sheds += 1
            return call.sheds < MAX_ATTEMPTS
        if outcome == "denied":
            call.denials += 1
            return call.denials < MAX_DENIALS
        call.refusals += 1
        middle.budget.on_attempt(failed=True)
        if call.refusals > MAX_REFUSALS:
            return False
        return self.gates_grant_retries or middle.budget.spend(rank)

    def fail(self, request: Request) -> None:
        """Fail a request of which a call failed."""
        if not request.failed:
            request.failed = True
            self.finish(request, succeeded=False)

    def finish(self, request: Request, succeeded: bool) -> None:
        """Finish a request, and give the entry node the threshold in the reply."""
        middle, kind = request.middle, request.kind
        threshold = middle.leaf_shedder.highest_threshold(middle.picker, kind.name)
        request.entry.entry_shedder.update(
            kind.name, middle.name, 5.0 if threshold is None else threshold
        )
        outcomes = self.outcomes[kind.name]
        if succeeded and self.counting:
            outcomes.succeeded += 1
            outcomes.useful_runs += request.leaf_runs

    @property
    def useful_share(self) -> float:
        """Share of the leaf runs that belong to successful requests."""
        runs = sum(c.runs for c in self.outcomes.values())
        return sum(c.useful_runs for c in self.outcomes.values()) / runs

    @property
    def utilisation(self) -> float:
        """Leaf runs as a share of the capacity of the leaf service."""
        seconds = self.clock.now() - self.began - self.counted_from
        runs = sum(c.runs for c in self.outcomes.values())
        return runs * CALL_MEAN / (seconds * LEAF_GATES * SLOTS)

    def success_rate(self, kind: Kind) -> float:
        """Share of the requests of a kind that succeeded."""
        outcomes = self.outcomes[kind.name]
        return outcomes.succeeded / outcomes.sent
