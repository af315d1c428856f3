"""A fleet of nodes before a deep service that is asked for more than it can do.

Callers' requests reach first nodes anywhere in the fleet.  Each runs at an upper
service for a while, whose instances make calls in a row to the deep service; what
the deep gates shed twice breaks the request.  The decisions are the real ones:
admission at each deep gate, the choice of an instance, thresholds on replies, and
what the gates tell the fleet.  Only the time that a run takes is drawn.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from rattanfork_core.account import RepeatBudget, RepeatGrants
from rattanfork_core.admission import (
    AdmissionController,
    AdmissionSettings,
    Start,
    Waiter,
)
from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import (
    CallChainThresholds,
    EarlyShedder,
    GateReportTable,
    OperationDependencies,
)
from rattanfork_core.routing import InstancePicker, InstanceState

DEEP, UPPER = "deep", "upper"
DEEP_GATES = 12
SLOTS = 29
SPEEDS = (0.6, 1.0, 1.4)
CALL_MEAN = 0.13
CALL_TIME = 0.7
ATTEMPTS = 2
#: Bound on repeated arrivals: for each request, and in each window besides.
RATIO, EXTRA, WINDOW = 0.2, 213.0, 10.0
#: Refusals of one call after which it is given up, and gates that may deny it.
MOST_REFUSED, MOST_DENIED = 15, 2
#: Seconds until an upstream says that it refuses.
REFUSAL = 0.003
#: Seconds that a message takes.
HOP = 0.001
TICK = AdmissionController.TICK_SECONDS
#: Members told at each tick.
TOLD = 2


@dataclass(frozen=True)
class Kind:
    """A kind of request: how often, how important, and what it calls.

    ``rate`` is in requests a second, ``before`` the mean seconds of work at the
    upper service, ``calls`` the calls in each of ``rows`` rows.  One without work
    before its call goes to the deep service itself.
    """

    name: str
    rate: float
    importance: int
    before: float
    calls: int
    rows: int = 1
    call_mean: float = CALL_MEAN
    time: float = 3.0

    @property
    def service(self) -> str:
        """The service that callers ask."""
        return UPPER if self.before else DEEP


LOOKUP = Kind("lookup", 514.0, 2, 0.6, 4)
FILING = Kind("filing", 253.0, 0, 0.7, 4, rows=2, time=4.0)
SEARCH = Kind("search", 168.0, 1, 0.0, 1, call_mean=0.21, time=1.2)
SURGE = (LOOKUP, FILING, SEARCH)


@dataclass(eq=False)
class Request:
    """One caller's request and what became of it."""

    kind: Kind
    rank: float
    first: "Node"
    upper: "Node"
    end: float
    rows_left: int
    broken: bool = False
    deep_runs: int = 0


@dataclass(eq=False)
class Call:
    """One call of a row to the deep service."""

    request: Request
    left: int
    tried: frozenset[str] = frozenset()
    shed: int = 0
    refused: int = 0
    denied: int = 0
    sent_at: float = 0.0
    done: bool = False


@dataclass
class Count:
    """What became of the requests of one kind, and of the calls made for them."""

    sent: int = 0
    refused: int = 0
    whole: int = 0
    runs: int = 0
    runs_of_whole: int = 0


class Gate:
    """A deep gate with its upstream."""

    def __init__(self, fleet: "OverloadSimulation", name: str, speed: float) -> None:
        self.fleet, self.name, self.speed = fleet, name, speed
        self.admission = AdmissionController(
            fleet.clock,
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
        self.grants = RepeatGrants(fleet.clock, RATIO, EXTRA, WINDOW)
        self.grants.share_among(DEEP_GATES)

    def offer(self, call: Call, done: Callable) -> None:
        """Take a call; ``done`` gets what became of it."""
        now = self.fleet.clock.now()
        request = call.request
        if call.refused and self.fleet.granted_by_gates:
            if not self.grants.grant(request.rank):
                self.fleet.after(HOP, lambda: done("denied", self))
                return
        elif not call.shed:
            self.grants.count_request()
        deadline = min(request.end, call.sent_at + CALL_TIME)
        waiter = Waiter(next(self.keys), request.rank, "call", deadline, now)
        self.calls[waiter.key] = (call, done)
        self.take(self.admission.offer(waiter))

    def tick(self) -> None:
        """Carry admission on."""
        self.take(self.admission.tick())

    def take(self, decisions: Iterable) -> None:
        """Carry decisions out."""
        for decision in decisions:
            key = decision.waiter.key
            call, done = self.calls.pop(key)
            if isinstance(decision, Start) and self.fleet.refuses():
                self.fleet.after(REFUSAL, lambda k=key, d=done: self.refuse(k, d))
            elif isinstance(decision, Start):
                mean = call.request.kind.call_mean / self.speed
                seconds = mean * self.fleet.random.lognormvariate(-0.125, 0.5)
                self.fleet.after(seconds, lambda k=key, d=done: self.end(k, d))
            else:
                self.fleet.after(HOP, lambda d=done: d("shed", self))

    def end(self, key: int, done: Callable) -> None:
        """Take note that a run has ended."""
        self.grants.on_attempt(lost=False)
        self.take(self.admission.finish(key))
        self.fleet.after(HOP, lambda: done("ran", self))

    def refuse(self, key: int, done: Callable) -> None:
        """Take note that the upstream refused a run."""
        self.grants.on_attempt(lost=True)
        self.take(self.admission.finish(key, succeeded=False))
        self.fleet.after(HOP, lambda: done("refused", self))

    @property
    def busy(self) -> int:
        """Calls that wait or run."""
        return self.admission.running + self.admission.waiting


class Node:
    """What one node knows, and what it decides by."""

    def __init__(self, fleet: "OverloadSimulation", name: str) -> None:
        self.fleet, self.name = fleet, name
        self.reports = GateReportTable(fleet.clock, name)
        self.gate: Gate | None = None
        self.reach = OperationDependencies()
        self.chain = CallChainThresholds(
            self.reports, self.reach, lambda service: DEEP_GATES
        )
        self.early = EarlyShedder(fleet.clock)
        self.deeper = EarlyShedder(fleet.clock)
        share = 0.75 * EXTRA / fleet.size
        self.budget = RepeatBudget(fleet.clock, 0.9 * RATIO, share, WINDOW)
        self.picker = InstancePicker(name, "dc", fleet.clock, fleet.random)
        for kind in SURGE:
            self.reach.record_run(kind.name, [DEEP] if kind.service == UPPER else [])

    def tick(self) -> None:
        """Tell the fleet what is known."""
        if self.gate is not None:
            self.reports.update_own(DEEP, self.gate.admission.threshold, impaired=False)
        news = self.reports.take_fresh()
        if news:
            for other in self.fleet.random.sample(self.fleet.nodes, TOLD):
                self.fleet.after(HOP, lambda o=other: o.reports.merge(news))

    def admits(self, kind: Kind, rank: float, upper: "Node") -> bool:
        """Return whether a caller's request is begun."""
        if self.fleet.told and rank >= self.chain.threshold(kind.name, kind.service):
            return False
        return (
            self.early.shedding_instances(self.fleet.uppers(self), kind.name, rank)
            is not None
        )

    def choose(self, call: Call) -> str | None:
        """Return the deep instance that a call goes to."""
        rank = call.request.rank
        kind = call.request.kind.name
        shut = self.deeper.shedding_instances(self.picker, kind, rank) or frozenset()
        names = self.picker.states
        if self.fleet.told:
            shedding = {n for n in names if self.reports.gate_state(DEEP, n)[0] <= rank}
            shut = shut | shedding if len(shedding) < len(names) else shut
        return self.picker.pick(call.tried | shut) or self.picker.pick(call.tried)


@dataclass
class OverloadSimulation:
    """The fleet, its callers, and what became of their requests.

    ``told`` says whether first nodes use what gates tell the fleet, or only what
    came with their own replies; ``granted_by_gates`` who decides on repeats: the
    gates of the deep service, or each node that sends for itself.  From the second
    ``refusing_from`` on the upstreams refuse a share of what they are sent.
    """

    size: int
    told: bool = True
    granted_by_gates: bool = True
    refusing: float = 0.0
    refusing_from: float = 3.0
    seed: int = 1
    kinds: tuple[Kind, ...] = SURGE
    counted_from: float = 3.0
    clock: ManualClock = field(default_factory=lambda: ManualClock(100.0))

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.heap: list = []
        self.numbers = count()
        self.nodes = [Node(self, f"n{i}@b") for i in range(self.size)]
        self.gates: dict[str, Gate] = {}
        for place, node in enumerate(self.nodes[:DEEP_GATES]):
            speed = SPEEDS[place % len(SPEEDS)]
            node.gate = self.gates[node.name] = Gate(self, node.name, speed)
        self.upper_nodes = self.nodes[DEEP_GATES:] or self.nodes
        for node in self.nodes:
            node.picker.update(InstanceState(name, "dc", SLOTS) for name in self.gates)
        self.upper_pickers: dict[str, InstancePicker] = {}
        self.counts = {kind.name: Count() for kind in self.kinds}

    def refuses(self) -> bool:
        """Return whether an upstream refuses what it is sent now."""
        if self.clock.now() - self.began < self.refusing_from:
            return False
        return self.random.random() < self.refusing

    def uppers(self, node: Node) -> InstancePicker:
        """Return a node's choice among the upper instances."""
        picker = self.upper_pickers.get(node.name)
        if picker is None:
            picker = InstancePicker(node.name, "dc", self.clock, self.random)
            picker.update(InstanceState(n.name, "dc", 90) for n in self.upper_nodes)
            self.upper_pickers[node.name] = picker
        return picker

    def after(self, seconds: float, work: Callable[[], None]) -> None:
        """Do something later."""
        at = self.clock.now() + seconds
        heappush(self.heap, (at, next(self.numbers), work))

    def play(self, seconds: float) -> "OverloadSimulation":
        """Let time pass."""
        self.began = self.clock.now()
        until = self.began + seconds
        by_name = {node.name: node for node in self.nodes}
        self.by_name = by_name
        for kind in self.kinds:
            self.after(
                self.random.expovariate(kind.rate), lambda k=kind: self.arrive(k)
            )
        for node in self.nodes:
            self.every(node.tick)
        for gate in self.gates.values():
            self.every(gate.tick)
        while self.heap and self.heap[0][0] <= until:
            at, _, work = heappop(self.heap)
            self.clock.advance(max(0.0, at - self.clock.now()))
            work()
        return self

    def every(self, work: Callable[[], None]) -> None:
        """Do something ten times a second, from some moment on."""

        def again() -> None:
            work()
            self.after(TICK, again)

        self.after(self.random.uniform(0, TICK), again)

    @property
    def counting(self) -> bool:
        """Whether the first seconds, in which all is empty, are over."""
        return self.clock.now() - self.began >= self.counted_from

    def arrive(self, kind: Kind) -> None:
        """Let a caller's request come in somewhere."""
        self.after(self.random.expovariate(kind.rate), lambda: self.arrive(kind))
        first = self.random.choice(self.nodes)
        rank = kind.importance + self.random.random()
        counted = self.counts[kind.name]
        if self.counting:
            counted.sent += 1
        picker = self.uppers(first)
        upper = self.by_name[picker.pick(frozenset())]
        if not first.admits(kind, rank, upper):
            if self.counting:
                counted.refused += 1
            return
        end = self.clock.now() + kind.time
        request = Request(kind, rank, first, upper, end, kind.rows)
        before = kind.before * self.random.uniform(0.5, 1.5)
        for _ in range(kind.rows):
            self.after(before, lambda: self.call(Call(request, kind.calls)))

    def call(self, call: Call) -> None:
        """Send a call of a row."""
        request = call.request
        if request.broken:
            return
        name = request.upper.choose(call)
        if name is None or self.clock.now() > request.end:
            self.break_off(request)
            return
        call.sent_at = self.clock.now()
        state = request.upper.picker.states[name]
        state.on_sent(call.sent_at)
        gate = self.gates[name]
        self.after(
            HOP,
            lambda: gate.offer(call, lambda end, at: self.back(call, state, end, at)),
        )
        if not call.shed and not call.refused:
            request.upper.budget.count_request()

    def back(self, call: Call, state: InstanceState, end: str, gate: Gate) -> None:
        """Take a gate's reply to a call."""
        request = call.request
        now = self.clock.now()
        state.on_done(now, call.sent_at, failed=False)
        state.busy = gate.busy
        cut = gate.admission.threshold
        request.upper.deeper.update(request.kind.name, gate.name, cut)
        if end != "ran":
            call.tried |= {gate.name}
            if len(call.tried) == DEEP_GATES:
                call.tried = frozenset()
            if self.sends_again(call, end):
                self.call(call)
            else:
                self.break_off(request)
            return
        request.upper.budget.on_attempt(lost=False)
        request.deep_runs += 1
        if self.counting:
            self.counts[request.kind.name].runs += 1
        call.left -= 1
        call.tried = frozenset()
        call.shed = call.refused = call.denied = 0
        if call.left:
            self.call(call)
            return
        request.rows_left -= 1
        if not request.rows_left and not request.broken:
            self.finish(request, whole=True)

    def sends_again(self, call: Call, end: str) -> bool:
        """Return whether a call that did not run is sent to another gate."""
        upper, rank = call.request.upper, call.request.rank
        if end == "shed":
            call.shed += 1
            return call.shed < ATTEMPTS
        if end == "denied":
            call.denied += 1
            return call.denied < MOST_DENIED
        call.refused += 1
        upper.budget.on_attempt(lost=True)
        if call.refused > MOST_REFUSED:
            return False
        return self.granted_by_gates or upper.budget.spend(rank)

    def break_off(self, request: Request) -> None:
        """Take note that a call of a request came to nothing."""
        if not request.broken:
            request.broken = True
            self.finish(request, whole=False)

    def finish(self, request: Request, whole: bool) -> None:
        """Give a request its end, and the first node what it tells."""
        upper, kind = request.upper, request.kind
        cut = upper.deeper.highest_threshold(upper.picker, kind.name)
        request.first.early.update(kind.name, upper.name, 5.0 if cut is None else cut)
        counted = self.counts[kind.name]
        if whole and self.counting:
            counted.whole += 1
            counted.runs_of_whole += request.deep_runs

    @property
    def useful(self) -> float:
        """Share of the deep runs that belong to requests answered whole."""
        runs = sum(c.runs for c in self.counts.values())
        return sum(c.runs_of_whole for c in self.counts.values()) / runs

    @property
    def used(self) -> float:
        """Deep runs as a share of what the deep service could do."""
        seconds = self.clock.now() - self.began - self.counted_from
        runs = sum(c.runs for c in self.counts.values())
        return runs * CALL_MEAN / (seconds * DEEP_GATES * SLOTS)

    def whole(self, kind: Kind) -> float:
        """Share of the requests of a kind that were answered whole."""
        counted = self.counts[kind.name]
        return counted.whole / counted.sent
