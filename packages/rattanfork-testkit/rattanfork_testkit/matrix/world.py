"""A small world of core objects, driven step by step."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from rattanfork_core.account import Account
from rattanfork_core.admission import (
    AdmissionController,
    AdmissionSettings,
    Start,
    Waiter,
)
from rattanfork_core.atmostonce import (
    AlreadyAnswered,
    ConnectionLedger,
    JoinRunning,
    RefuseKey,
    RunLedger,
    RunRecord,
    Ticket,
)
from rattanfork_core.clock import ManualClock
from rattanfork_core.request import (
    CallResult,
    FenceVerdict,
    Finish,
    Outcome,
    Reason,
    RequestMachine,
    SendCall,
    SendCancel,
    SendFence,
    request_rank,
)
from rattanfork_core.request.importance import Importance

GRANT = 2
DEADLINE = 2.0
GUARDS = tuple(f"g{i}" for i in range(1, 7))
#: How long anything that is late or frozen stays away, in seconds.
LONG = 60.0


@dataclass(slots=True)
class Request:
    """What a caller asks."""

    request_id: str
    caller: str
    keyed: bool
    idempotent: bool
    key: str = ""
    ticket: Ticket | None = None


@dataclass(slots=True)
class Parts:
    """The safeguards under test; a break puts a faulty one in."""

    ledger: type[RunLedger] = RunLedger
    connection: type[ConnectionLedger] = ConnectionLedger
    machine: type[RequestMachine] = RequestMachine
    account: type[Account] = Account
    admission: type[AdmissionController] = AdmissionController
    matches_connection: bool = True


@dataclass
class GuardModel:
    """One incarnation of a guard and the upstream behind it."""

    name: str
    boot: int
    world: "World"
    alive: bool = True
    frozen_until: float = 0.0
    upstream_alive: bool = True
    upstream_delay: float = 0.0
    connections: dict[str, ConnectionLedger] = field(default_factory=dict)
    leaving_at: float | None = None
    full_until: float = 0.0

    def __post_init__(self) -> None:
        """Make the decisions' objects."""
        world = self.world
        self.ledger = world.parts.ledger(world.clock, self.name, f"b{self.boot}")
        settings = AdmissionSettings(slots=4, warmup=0.0)
        self.admission = world.parts.admission(world.clock, settings)

    @property
    def identity(self) -> str:
        """The member name."""
        return f"{self.name}@b{self.boot}"


@dataclass(slots=True)
class Run:
    """What an upstream truly ran."""

    request_id: str
    key: str
    guard: str
    at: float


@dataclass(slots=True)
class Delivered:
    """What a caller was told by one of its tries."""

    caller: str
    request_id: str
    key: str
    result: CallResult


class World:
    """Nodes, guards, and a network that the plan disturbs.

    Explanation
    ===========

    Events lie in one agenda by time.  A step of the request passes through
    :meth:`pass_step`, which applies the faults planned for it.  Nothing
    sleeps; the clock is moved from event to event.
    """

    def __init__(self, plan: dict, parts: Parts, seed: int = 1) -> None:
        self.clock = ManualClock(1000.0)
        self.parts = parts
        self.random = Random(seed)
        self.plan = {step: list(faults) for step, faults in plan.items()}
        self.agenda: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0
        self.guards = {name: GuardModel(name, 1, self) for name in GUARDS}
        self.runs: list[Run] = []
        self.delivered: list[Delivered] = []
        self.attempts: dict[str, int] = {}
        self.new_work_after_leaving: list[str] = []
        self.cut_off_by_drain: list[str] = []
        self.lost_runs: set[int] = set()
        self.tries: list[Try] = []

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Put an action on the agenda."""
        self.order += 1
        self.agenda.append((self.clock.now() + delay, self.order, action))

    def run(self, until: float = 600.0) -> None:
        """Play the agenda to its end."""
        end = self.clock.now() + until
        while self.agenda:
            self.agenda.sort(key=lambda event: event[:2])
            time, _, action = self.agenda.pop(0)
            if time > end:
                return
            if time > self.clock.now():
                self.clock.advance(time - self.clock.now())
            action()

    def guard(self, identity: str) -> GuardModel | None:
        """Return a live incarnation of a guard."""
        for guard in self.guards.values():
            if guard.identity == identity and guard.alive:
                return guard
        return None

    def new_ticket(self, name: str) -> tuple[str, Ticket]:
        """Issue a key for a guard."""
        guard = self.guards[name]
        nonce = self.random.getrandbits(40)
        ticket = Ticket("claims", name, f"b{guard.boot}", guard.ledger.epoch, nonce)
        return f"key-{nonce}", ticket

    def send(self, request: Request) -> "Try":
        """Let a caller try a request now."""
        attempt = Try(self, request, len(self.tries))
        self.tries.append(attempt)
        attempt.begin()
        return attempt

    def take_faults(self, step: object) -> list:
        """Return the next fault planned for a step, if any is left."""
        faults = self.plan.get(step)
        return [faults.pop(0)] if faults else []


class Try:
    """One try of a caller's request, through one node."""

    def __init__(self, world: World, request: Request, number: int) -> None:
        self.world = world
        self.request = request
        self.number = number
        self.node_alive = True
        self.caller_gone = False
        self.frozen_until = 0.0
        self.connection = {}
        self.connection_counter = 0
        self.machine: RequestMachine | None = None
        self.finishes = 0

    def begin(self) -> None:
        """Send the request to a node."""
        self._transmit("REQUEST", self._arrive, self._caller_gives_up)

    def _caller_gives_up(self) -> None:
        self.caller_gone = True

    def _arrive(self) -> None:
        if self.machine is not None or not self.node_alive:
            return
        world, request = self.world, self.request
        deadline = world.clock.now() + DEADLINE
        account = world.parts.account(world.clock, deadline, GRANT)
        pinned = None
        if request.ticket is not None:
            pinned = f"{request.ticket.instance}@{request.ticket.boot}"
        self.machine = world.parts.machine(
            account, request.idempotent, self._pick, pinned
        )
        world.at(DEADLINE, lambda: self._feed(self.machine.on_deadline))
        self._feed(self.machine.start)

    def _pick(self, avoid: frozenset[str]) -> str | None:
        for guard in self.world.guards.values():
            if guard.identity not in avoid and guard.alive:
                return guard.identity
        return None

    def _feed(self, event: Callable, *arguments: object) -> None:
        if not self.node_alive:
            return
        now = self.world.clock.now()
        if now < self.frozen_until:
            wait = self.frozen_until - now
            self.world.at(wait, lambda: self._feed(event, *arguments))
            return
        for command in event(*arguments):
            self._carry_out(command)

    def _carry_out(self, command: object) -> None:
        if isinstance(command, SendCall):
            self._call(command)
        elif isinstance(command, SendFence):
            self._fence(command)
        elif isinstance(command, SendCancel):
            pass
        elif isinstance(command, Finish):
            result = command.result
            self.finishes += 1
            self._transmit("DELIVER", lambda: self._deliver(result), lambda: None)

    def _deliver(self, result: CallResult) -> None:
        request = self.request
        if not self.caller_gone:
            self.world.delivered.append(
                Delivered(request.caller, request.request_id, request.key, result)
            )

    def _call(self, command: SendCall) -> None:
        world = self.world
        counts = world.attempts
        root = self.request.request_id
        counts[root] = counts.get(root, 0) + 1
        self.connection_counter += 1
        connection = f"t{self.number}c{self.connection_counter}"
        self.connection[command.attempt] = connection
        lost = lambda: self._feed(self.machine.on_link_lost, command.attempt)  # noqa: E731

        def arrive() -> None:
            guard = world.guard(command.instance)
            if guard is None:
                world.at(0.01, lost)
                return
            GuardRun(self, guard, command, connection).begin()

        self._transmit("CALL", arrive, lost)

    def _fence(self, command: SendFence) -> None:
        world = self.world

        def ask() -> None:
            guard = world.guard(command.instance)
            verdict = FenceVerdict.UNKNOWN
            if guard is not None and world.clock.now() >= guard.frozen_until:
                if self.request.key:
                    verdict = guard.ledger.fence(self.request.key, self.request.ticket)
                else:
                    name = self.connection[command.attempt]
                    ledger = guard.connections.setdefault(
                        name, world.parts.connection()
                    )
                    [verdict] = ledger.fence([1])
            self._feed(self.machine.on_fence, command.attempt, verdict)

        world.at(0.01, ask)

    def _transmit(
        self, step: str, arrive: Callable[[], None], lost: Callable[[], None]
    ) -> None:
        """Carry a message, with the faults planned for its step."""
        delays = self.strike(step, None)
        if not delays:
            self.world.at(0.5, lost)
        for delay in delays:
            self.world.at(delay, arrive)
        if delays and min(delays) >= LONG:
            # The sender finds the connection silent long before.
            self.world.at(0.5, lost)

    def strike(self, step: str, guard: GuardModel | None) -> list[float]:
        """Apply the faults of a step; return when the message arrives."""
        delays = [0.001]
        for fault in self.world.take_faults(step):
            delays = self._apply(fault, guard, delays)
        return delays

    def _apply(
        self, fault: str, guard: GuardModel | None, delays: list[float]
    ) -> list[float]:
        world = self.world
        target = guard or world.guards["g1"]
        if fault in ("LOST", "CUT", "SILENT"):
            return []
        if fault == "DOUBLED":
            return [*delays, delays[0] + 0.002] if delays else []
        if fault == "LATE":
            return [LONG]
        if fault == "GUARD_KILLED":
            self._replace(target)
        elif fault == "GUARD_FROZEN":
            target.frozen_until = world.clock.now() + LONG
        elif fault == "NODE_KILLED":
            self.node_alive = False
        elif fault == "NODE_FROZEN":
            self.frozen_until = world.clock.now() + LONG
        elif fault == "UPSTREAM_KILLED":
            target.upstream_alive = False
        elif fault == "OVERLOAD":
            target.full_until = world.clock.now() + 0.3
        elif fault == "UPSTREAM_SLOW":
            target.upstream_delay = 5.0
        elif fault == "CALLER_LEAVES":
            self.caller_gone = True
            if self.machine is not None:
                world.at(0, lambda: self._feed(self.machine.on_caller_left))
        elif fault == "DRAIN":
            target.leaving_at = world.clock.now()
            target.admission.leave()
        elif fault == "CLOCK_JUMP":
            world.clock.advance(LONG)
        return delays

    def _replace(self, guard: GuardModel) -> None:
        guard.alive = False
        fresh = GuardModel(guard.name, guard.boot + 1, self.world)
        self.world.guards[guard.name] = fresh


class GuardRun:
    """One call at a guard."""

    def __init__(
        self, attempt: Try, guard: GuardModel, command: SendCall, connection: str
    ) -> None:
        self.attempt = attempt
        self.guard = guard
        self.command = command
        self.connection = connection
        self.record: RunRecord | None = None
        self.started = False

    def begin(self) -> None:
        """Take the call in, once the guard is awake."""
        world = self.attempt.world
        if not self.guard.alive:
            return
        if world.clock.now() < self.guard.frozen_until:
            wait = self.guard.frozen_until - world.clock.now()
            world.at(wait, self.begin)
            self._link_lost(0.6)
            return
        ledger = self.connections().setdefault(
            self.connection, world.parts.connection()
        )
        if not ledger.arrive(1):
            return
        request = self.attempt.request
        if request.ticket is not None:
            verdict = self.guard.ledger.arrive(
                request.key, request.ticket, request.caller, 1
            )
            if isinstance(verdict, RefuseKey):
                self._reply(CallResult(verdict.outcome, verdict.reason))
                return
            if isinstance(verdict, AlreadyAnswered):
                self._reply(verdict.result)
                return
            if isinstance(verdict, JoinRunning):
                self._reply(CallResult(Outcome.UNKNOWN, Reason.DEADLINE))
                return
            self.record = verdict.record
        self._queue()

    def connections(self) -> dict[str, ConnectionLedger]:
        """Return the guard's memory of connections."""
        return self.guard.connections

    def _queue(self) -> None:
        world = self.attempt.world
        now = world.clock.now()
        if now < self.guard.full_until:
            self._refuse(Reason.SHED)
            return
        rank = request_rank(Importance.NORMAL, self.attempt.request.request_id)
        self.waiter = Waiter(world.order, rank, "file", now + DEADLINE, now)
        decisions = self.guard.admission.offer(self.waiter)
        if not decisions or not isinstance(decisions[0], Start):
            self._refuse(decisions[0].reason if decisions else Reason.SHED)
            return
        self.attempt.strike("QUEUE", self.guard)
        self._awake(self._hand_over)

    def _awake(self, action: Callable[[], None]) -> None:
        world = self.attempt.world
        if not self.guard.alive:
            self._link_lost(0.1)
            return
        wait = self.guard.frozen_until - world.clock.now()
        if wait > 0:
            self._link_lost(0.6)
        world.at(max(0.001, wait), action)

    def _hand_over(self) -> None:
        guard, world = self.guard, self.attempt.world
        if not guard.alive:
            self._link_lost(0.1)
            return
        ledger = self.connections().setdefault(
            self.connection, world.parts.connection()
        )
        allowed = ledger.hand_over(1)
        if allowed and self.record is not None:
            allowed = guard.ledger.hand_over(self.record)
        if not allowed:
            self._refuse(Reason.FENCED)
            return
        self.started = True
        delays = self.attempt.strike("HAND_OVER", guard)
        if not guard.upstream_alive:
            if self.record is not None:
                guard.ledger.retract(self.record)
            self._end(CallResult(Outcome.NOT_RUN, Reason.UPSTREAM_DOWN))
            return
        for delay in delays[:1]:
            # HTTP over TCP neither doubles a request nor delivers it after
            # its connection is closed; a late one is still run.
            world.at(delay, self._run)
        if not delays:
            self._upstream_lost()

    def _run(self) -> None:
        guard, world = self.guard, self.attempt.world
        if not guard.upstream_alive:
            self._upstream_lost()
            return
        request = self.attempt.request
        world.runs.append(
            Run(request.request_id, request.key, guard.identity, world.clock.now())
        )
        if guard.leaving_at is not None and self.waiter.arrived > guard.leaving_at:
            world.new_work_after_leaving.append(request.request_id)
        self.attempt.strike("RUN", guard)
        if not guard.upstream_alive:
            self._upstream_lost()
            return
        world.at(0.1 + guard.upstream_delay, self._answer)

    def _answer(self) -> None:
        if not self.guard.alive:
            self._link_lost(0.1)
            return
        delays = self.attempt.strike("ANSWER", self.guard)
        if not delays:
            self._upstream_lost()
            return
        self.attempt.world.at(delays[0], lambda: self._awake(self._answered))

    def _answered(self) -> None:
        if not self.guard.alive:
            return
        request = self.attempt.request
        body = f"for {request.caller} {request.request_id}".encode()
        result = CallResult(Outcome.ANSWERED, status=200, body=body)
        if self.record is not None:
            self.guard.ledger.answer(self.record, result)
        self._end(result)

    def _upstream_lost(self) -> None:
        if self.record is not None:
            self.guard.ledger.lose(self.record)
        result = CallResult(Outcome.UNKNOWN, Reason.UPSTREAM_DOWN, retry_elsewhere=True)
        self._end(result)

    def _end(self, result: CallResult) -> None:
        self.guard.admission.finish(self.waiter.key, result.status == 200)
        self._reply(result)

    def _refuse(self, reason: Reason) -> None:
        outcome = Outcome.NOT_RUN
        if self.record is not None and not self.guard.ledger.refuse(self.record):
            outcome = Outcome.UNKNOWN
        self._reply(CallResult(outcome, reason, retry_elsewhere=True))

    def _link_lost(self, delay: float) -> None:
        attempt = self.attempt
        number = self.command.attempt
        attempt.world.at(
            delay, lambda: attempt._feed(attempt.machine.on_link_lost, number)
        )

    def _reply(self, result: CallResult) -> None:
        attempt, number = self.attempt, self.command.attempt
        lost = lambda: attempt._feed(attempt.machine.on_link_lost, number)  # noqa: E731
        arrive = lambda: self._reply_arrives(result)  # noqa: E731
        delays = attempt.strike("REPLY", self.guard)
        if not self.guard.alive:
            delays = []
        for delay in delays:
            attempt.world.at(delay, arrive)
        if not delays or min(delays) >= LONG:
            attempt.world.at(0.5, lost)

    def _reply_arrives(self, result: CallResult) -> None:
        attempt, world = self.attempt, self.attempt.world
        if world.parts.matches_connection:
            attempt._feed(attempt.machine.on_result, self.command.attempt, result)
            return
        # The broken pairing: the answer goes to whoever waits with this
        # number, whichever connection it came over.
        waiting = [t for t in world.tries if t.machine is not None]
        target = next((t for t in waiting if not t.machine.finished), attempt)
        target._feed(target.machine.on_result, self.command.attempt, result)
