"""One try of a caller's request, through one node."""

from collections.abc import Callable

from rattanfork_core.request import (
    CallResult,
    FenceVerdict,
    Finish,
    RequestStateMachine,
    SendCall,
    SendFence,
)

from rattanfork_testkit.matrix.guard_run import GuardRun
from rattanfork_testkit.matrix.world import (
    DEADLINE,
    GRANT,
    LONG,
    Delivered,
    GuardModel,
    Request,
    World,
)


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
        self.machine: RequestStateMachine | None = None
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
        lost = lambda: self._feed(self.machine.on_connection_lost, command.attempt)  # noqa: E731

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
            self._feed(self.machine.on_fence_verdict, command.attempt, verdict)

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
                world.at(0, lambda: self._feed(self.machine.on_caller_disconnected))
        elif fault == "DRAIN":
            target.leaving_at = world.clock.now()
            target.admission.drain()
        elif fault == "CLOCK_JUMP":
            world.clock.advance(LONG)
        return delays

    def _replace(self, guard: GuardModel) -> None:
        guard.alive = False
        fresh = GuardModel(guard.name, guard.boot + 1, self.world)
        self.world.guards[guard.name] = fresh


def send(world: World, request: Request) -> Try:
    """Let a caller try a request now."""
    attempt = Try(world, request, len(world.tries))
    world.tries.append(attempt)
    attempt.begin()
    return attempt
