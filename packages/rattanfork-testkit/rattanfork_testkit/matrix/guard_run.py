"""One call at a guard."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from rattanfork_core.admission import Start, Waiter
from rattanfork_core.atmostonce import (
    AlreadyAnswered,
    ConnectionLedger,
    JoinRunning,
    RefuseKey,
    RunRecord,
)
from rattanfork_core.request import (
    CallResult,
    Outcome,
    Reason,
    SendCall,
    request_rank,
)
from rattanfork_core.request.importance import Importance

from rattanfork_testkit.matrix.world import DEADLINE, LONG, GuardModel, Run

if TYPE_CHECKING:
    from rattanfork_testkit.matrix.attempt import Try


class GuardRun:
    """One call at a guard."""

    def __init__(
        self, attempt: "Try", guard: GuardModel, command: SendCall, connection: str
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
            delay, lambda: attempt._feed(attempt.machine.on_connection_lost, number)
        )

    def _reply(self, result: CallResult) -> None:
        attempt, number = self.attempt, self.command.attempt
        lost = lambda: attempt._feed(attempt.machine.on_connection_lost, number)  # noqa: E731
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
