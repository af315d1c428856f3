"""Simulated call at the node beside the upstream instance."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from rattanfork_core.admission import Start, Waiter
from rattanfork_core.idempotency import (
    AlreadyAnswered,
    ConnectionCallLog,
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

from rattanfork_testkit.matrix.simulation import (
    DEADLINE_S,
    LONG_DELAY_S,
    Run,
    ServingNode,
)

if TYPE_CHECKING:
    from rattanfork_testkit.matrix.attempt import ClientAttempt


class ServedCall:
    """One call at a serving node: deduplication, admission, run and reply."""

    def __init__(
        self,
        attempt: "ClientAttempt",
        serving_node: ServingNode,
        command: SendCall,
        connection: str,
    ) -> None:
        self.attempt = attempt
        self.serving_node = serving_node
        self.command = command
        self.connection = connection
        self.record: RunRecord | None = None
        self.started = False

    def begin(self) -> None:
        """Receive the call, after any pause of the node has ended."""
        simulation = self.attempt.simulation
        if not self.serving_node.alive:
            return
        if simulation.clock.now() < self.serving_node.paused_until:
            wait = self.serving_node.paused_until - simulation.clock.now()
            simulation.schedule(wait, self.begin)
            self._report_connection_loss(0.6)
            return
        call_log = self.connections().setdefault(
            self.connection, simulation.components.call_log()
        )
        if not call_log.accept(1):
            return
        request = self.attempt.request
        if request.ticket is not None:
            verdict = self.serving_node.key_registry.on_request(
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
        self._request_admission()

    def connections(self) -> dict[str, ConnectionCallLog]:
        """Return the call log of each connection to the serving node."""
        return self.serving_node.connections

    def _request_admission(self) -> None:
        simulation = self.attempt.simulation
        now = simulation.clock.now()
        if now < self.serving_node.overloaded_until:
            self._refuse(Reason.SHED)
            return
        rank = request_rank(Importance.NORMAL, self.attempt.request.request_id)
        self.waiter = Waiter(simulation.sequence, rank, "file", now + DEADLINE_S, now)
        decisions = self.serving_node.admission.offer(self.waiter)
        if not decisions or not isinstance(decisions[0], Start):
            self._refuse(decisions[0].reason if decisions else Reason.SHED)
            return
        self.attempt.apply_faults("QUEUE", self.serving_node)
        self._when_running(self._forward)

    def _when_running(self, action: Callable[[], None]) -> None:
        simulation = self.attempt.simulation
        if not self.serving_node.alive:
            self._report_connection_loss(0.1)
            return
        wait = self.serving_node.paused_until - simulation.clock.now()
        if wait > 0:
            self._report_connection_loss(0.6)
        simulation.schedule(max(0.001, wait), action)

    def _forward(self) -> None:
        serving_node, simulation = self.serving_node, self.attempt.simulation
        if not serving_node.alive:
            self._report_connection_loss(0.1)
            return
        call_log = self.connections().setdefault(
            self.connection, simulation.components.call_log()
        )
        allowed = call_log.hand_over(1)
        if allowed and self.record is not None:
            allowed = serving_node.key_registry.hand_over(self.record)
        if not allowed:
            self._refuse(Reason.FENCED)
            return
        self.started = True
        delays = self.attempt.apply_faults("HAND_OVER", serving_node)
        if not serving_node.upstream_alive:
            if self.record is not None:
                serving_node.key_registry.cancel_hand_over(self.record)
            self._finish(CallResult(Outcome.NOT_RUN, Reason.UPSTREAM_DOWN))
            return
        for delay in delays[:1]:
            # HTTP over TCP neither duplicates a request nor delivers it after
            # its connection is closed; a delayed request still runs.
            simulation.schedule(delay, self._run)
        if not delays:
            self._lose_upstream()

    def _run(self) -> None:
        serving_node, simulation = self.serving_node, self.attempt.simulation
        if not serving_node.upstream_alive:
            self._lose_upstream()
            return
        request = self.attempt.request
        simulation.runs.append(
            Run(
                request.request_id,
                request.key,
                serving_node.identity,
                simulation.clock.now(),
            )
        )
        if (
            serving_node.drain_started_at is not None
            and self.waiter.arrived > serving_node.drain_started_at
        ):
            simulation.started_after_drain.append(request.request_id)
        self.attempt.apply_faults("RUN", serving_node)
        if not serving_node.upstream_alive:
            self._lose_upstream()
            return
        simulation.schedule(0.1 + serving_node.upstream_delay, self._send_answer)

    def _send_answer(self) -> None:
        if not self.serving_node.alive:
            self._report_connection_loss(0.1)
            return
        delays = self.attempt.apply_faults("ANSWER", self.serving_node)
        if not delays:
            self._lose_upstream()
            return
        self.attempt.simulation.schedule(
            delays[0], lambda: self._when_running(self._receive_answer)
        )

    def _receive_answer(self) -> None:
        if not self.serving_node.alive:
            return
        request = self.attempt.request
        body = f"for {request.caller} {request.request_id}".encode()
        result = CallResult(Outcome.ANSWERED, status=200, body=body)
        if self.record is not None:
            self.serving_node.key_registry.store_answer(self.record, result)
        self._finish(result)

    def _lose_upstream(self) -> None:
        if self.record is not None:
            self.serving_node.key_registry.on_connection_lost(self.record)
        result = CallResult(Outcome.UNKNOWN, Reason.UPSTREAM_DOWN, retry_elsewhere=True)
        self._finish(result)

    def _finish(self, result: CallResult) -> None:
        self.serving_node.admission.finish(self.waiter.key, result.status == 200)
        self._reply(result)

    def _refuse(self, reason: Reason) -> None:
        outcome = Outcome.NOT_RUN
        if self.record is not None and not self.serving_node.key_registry.refuse(
            self.record
        ):
            outcome = Outcome.UNKNOWN
        self._reply(CallResult(outcome, reason, retry_elsewhere=True))

    def _report_connection_loss(self, delay: float) -> None:
        attempt = self.attempt
        number = self.command.attempt
        attempt.simulation.schedule(
            delay,
            lambda: attempt._handle(attempt.machine.on_connection_lost, number),
        )

    def _reply(self, result: CallResult) -> None:
        attempt, number = self.attempt, self.command.attempt
        lost = lambda: attempt._handle(attempt.machine.on_connection_lost, number)  # noqa: E731
        arrive = lambda: self._receive_reply(result)  # noqa: E731
        delays = attempt.apply_faults("REPLY", self.serving_node)
        if not self.serving_node.alive:
            delays = []
        for delay in delays:
            attempt.simulation.schedule(delay, arrive)
        if not delays or min(delays) >= LONG_DELAY_S:
            attempt.simulation.schedule(0.5, lost)

    def _receive_reply(self, result: CallResult) -> None:
        attempt, simulation = self.attempt, self.attempt.simulation
        if simulation.components.matches_connection:
            attempt._handle(attempt.machine.on_result, self.command.attempt, result)
            return
        # Mutant: the reply goes to the first unfinished attempt, whichever
        # connection it arrived on.
        candidates = [t for t in simulation.client_attempts if t.machine is not None]
        target = next((t for t in candidates if not t.machine.finished), attempt)
        target._handle(target.machine.on_result, self.command.attempt, result)
