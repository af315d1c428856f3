"""Simulated request attempt of a client, sent through one entry node."""

from collections.abc import Callable

from rattanfork_core.request import (
    CallResult,
    FenceVerdict,
    Finish,
    RequestStateMachine,
    SendCall,
    SendFence,
)

from rattanfork_testkit.matrix.served_call import ServedCall
from rattanfork_testkit.matrix.simulation import (
    DEADLINE_S,
    LONG_DELAY_S,
    RETRY_GRANT,
    Delivery,
    Request,
    ServingNode,
    Simulation,
)


class ClientAttempt:
    """One attempt of a client, and the entry node that forwards it.

    Explanation
    ===========

    The entry node runs the request state machine of the product.  Its commands
    are carried over the simulated network, and their results are fed back into
    the machine, so faults act on the real decisions.
    """

    def __init__(self, simulation: Simulation, request: Request, number: int) -> None:
        self.simulation = simulation
        self.request = request
        self.number = number
        self.entry_node_alive = True
        self.caller_disconnected = False
        self.paused_until = 0.0
        self.connection = {}
        self.connection_counter = 0
        self.machine: RequestStateMachine | None = None
        self.final_results = 0

    def begin(self) -> None:
        """Send the request to the entry node."""
        self._transmit("REQUEST", self._receive_request, self._disconnect_caller)

    def _disconnect_caller(self) -> None:
        self.caller_disconnected = True

    def _receive_request(self) -> None:
        if self.machine is not None or not self.entry_node_alive:
            return
        simulation, request = self.simulation, self.request
        deadline = simulation.clock.now() + DEADLINE_S
        budget = simulation.components.account(simulation.clock, deadline, RETRY_GRANT)
        pinned = None
        if request.ticket is not None:
            pinned = f"{request.ticket.instance}@{request.ticket.boot}"
        self.machine = simulation.components.machine(
            budget, request.idempotent, self._pick_serving_node, pinned
        )
        simulation.schedule(DEADLINE_S, lambda: self._handle(self.machine.on_deadline))
        self._handle(self.machine.start)

    def _pick_serving_node(self, avoid: frozenset[str]) -> str | None:
        for serving_node in self.simulation.serving_nodes.values():
            if serving_node.identity not in avoid and serving_node.alive:
                return serving_node.identity
        return None

    def _handle(self, event: Callable, *arguments: object) -> None:
        if not self.entry_node_alive:
            return
        now = self.simulation.clock.now()
        if now < self.paused_until:
            wait = self.paused_until - now
            self.simulation.schedule(wait, lambda: self._handle(event, *arguments))
            return
        for command in event(*arguments):
            self._execute_command(command)

    def _execute_command(self, command: object) -> None:
        if isinstance(command, SendCall):
            self._send_call(command)
        elif isinstance(command, SendFence):
            self._send_fence(command)
        elif isinstance(command, Finish):
            result = command.result
            self.final_results += 1
            self._transmit("DELIVER", lambda: self._deliver(result), lambda: None)

    def _deliver(self, result: CallResult) -> None:
        request = self.request
        if not self.caller_disconnected:
            self.simulation.deliveries.append(
                Delivery(request.caller, request.request_id, request.key, result)
            )

    def _send_call(self, command: SendCall) -> None:
        simulation = self.simulation
        counts = simulation.calls_sent
        root = self.request.request_id
        counts[root] = counts.get(root, 0) + 1
        self.connection_counter += 1
        connection = f"t{self.number}c{self.connection_counter}"
        self.connection[command.attempt] = connection
        lost = lambda: self._handle(self.machine.on_connection_lost, command.attempt)  # noqa: E731

        def arrive() -> None:
            serving_node = simulation.serving_node(command.instance)
            if serving_node is None:
                simulation.schedule(0.01, lost)
                return
            ServedCall(self, serving_node, command, connection).begin()

        self._transmit("CALL", arrive, lost)

    def _send_fence(self, command: SendFence) -> None:
        simulation = self.simulation

        def request_fence() -> None:
            serving_node = simulation.serving_node(command.instance)
            verdict = FenceVerdict.UNKNOWN
            if (
                serving_node is not None
                and simulation.clock.now() >= serving_node.paused_until
            ):
                if self.request.key:
                    verdict = serving_node.key_registry.fence(
                        self.request.key, self.request.ticket
                    )
                else:
                    name = self.connection[command.attempt]
                    call_log = serving_node.connections.setdefault(
                        name, simulation.components.call_log()
                    )
                    [verdict] = call_log.fence([1])
            self._handle(self.machine.on_fence_verdict, command.attempt, verdict)

        simulation.schedule(0.01, request_fence)

    def _transmit(
        self, step: str, arrive: Callable[[], None], lost: Callable[[], None]
    ) -> None:
        """Deliver a message, subject to the faults scheduled for its step."""
        delays = self.apply_faults(step, None)
        if not delays:
            self.simulation.schedule(0.5, lost)
        for delay in delays:
            self.simulation.schedule(delay, arrive)
        if delays and min(delays) >= LONG_DELAY_S:
            # The sender gives up a silent connection long before the message arrives.
            self.simulation.schedule(0.5, lost)

    def apply_faults(self, step: str, serving_node: ServingNode | None) -> list[float]:
        """Apply the faults of a step; return the delays of the copies that arrive."""
        delays = [0.001]
        for fault in self.simulation.next_faults(step):
            delays = self._apply(fault, serving_node, delays)
        return delays

    def _apply(
        self, fault: str, serving_node: ServingNode | None, delays: list[float]
    ) -> list[float]:
        simulation = self.simulation
        target = serving_node or simulation.serving_nodes["g1"]
        if fault in ("LOST", "CONNECTION_RESET", "CONNECTION_SILENT"):
            return []
        if fault == "DUPLICATED":
            return [*delays, delays[0] + 0.002] if delays else []
        if fault == "DELAYED":
            return [LONG_DELAY_S]
        if fault == "SERVING_NODE_KILLED":
            self._restart(target)
        elif fault == "SERVING_NODE_PAUSED":
            target.paused_until = simulation.clock.now() + LONG_DELAY_S
        elif fault == "ENTRY_NODE_KILLED":
            self.entry_node_alive = False
        elif fault == "ENTRY_NODE_PAUSED":
            self.paused_until = simulation.clock.now() + LONG_DELAY_S
        elif fault == "UPSTREAM_KILLED":
            target.upstream_alive = False
        elif fault == "OVERLOAD":
            target.overloaded_until = simulation.clock.now() + 0.3
        elif fault == "UPSTREAM_SLOW":
            target.upstream_delay = 5.0
        elif fault == "CALLER_DISCONNECTS":
            self.caller_disconnected = True
            if self.machine is not None:
                simulation.schedule(
                    0, lambda: self._handle(self.machine.on_caller_disconnected)
                )
        elif fault == "DRAIN":
            target.drain_started_at = simulation.clock.now()
            target.admission.drain()
        elif fault == "CLOCK_STEP":
            simulation.clock.advance(LONG_DELAY_S)
        return delays

    def _restart(self, serving_node: ServingNode) -> None:
        serving_node.alive = False
        successor = ServingNode(
            serving_node.name, serving_node.boot + 1, self.simulation
        )
        self.simulation.serving_nodes[serving_node.name] = successor


def send(simulation: Simulation, request: Request) -> ClientAttempt:
    """Start an attempt of a request now."""
    attempt = ClientAttempt(simulation, request, len(simulation.client_attempts))
    simulation.client_attempts.append(attempt)
    attempt.begin()
    return attempt
