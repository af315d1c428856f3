"""Discrete-event simulation of nodes built from the classes of the core."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from rattanfork_core.admission import AdmissionController, AdmissionSettings
from rattanfork_core.budgets import RequestBudget
from rattanfork_core.clock import ManualClock
from rattanfork_core.idempotency import ConnectionCallLog, KeyRegistry, Ticket
from rattanfork_core.request import CallResult, RequestStateMachine

if TYPE_CHECKING:
    from rattanfork_testkit.matrix.attempt import ClientAttempt


RETRY_GRANT = 2
DEADLINE_S = 2.0
SERVING_NODES = tuple(f"g{i}" for i in range(1, 7))
#: How long a delayed message or a paused process stays away.
LONG_DELAY_S = 60.0


@dataclass(slots=True)
class Request:
    """A request of a caller, with its key if it has one."""

    request_id: str
    caller: str
    keyed: bool
    idempotent: bool
    key: str = ""
    ticket: Ticket | None = None


@dataclass(slots=True)
class Components:
    """Classes that the simulated nodes are built from; a mutant replaces one."""

    key_registry: type[KeyRegistry] = KeyRegistry
    call_log: type[ConnectionCallLog] = ConnectionCallLog
    machine: type[RequestStateMachine] = RequestStateMachine
    #: Budget of attempts of one request.
    account: type[RequestBudget] = RequestBudget
    admission: type[AdmissionController] = AdmissionController
    #: Whether a reply is matched to its call also by connection, not just by number.
    matches_connection: bool = True


@dataclass
class ServingNode:
    """One incarnation of a serving node, and the upstream behind it."""

    name: str
    boot: int
    simulation: "Simulation"
    alive: bool = True
    paused_until: float = 0.0
    upstream_alive: bool = True
    upstream_delay: float = 0.0
    connections: dict[str, ConnectionCallLog] = field(default_factory=dict)
    drain_started_at: float | None = None
    overloaded_until: float = 0.0

    def __post_init__(self) -> None:
        """Create the key registry and the admission controller."""
        simulation = self.simulation
        self.key_registry = simulation.components.key_registry(
            simulation.clock, self.name, f"b{self.boot}"
        )
        settings = AdmissionSettings(slots=4, warmup=0.0)
        self.admission = simulation.components.admission(simulation.clock, settings)

    @property
    def identity(self) -> str:
        """Member name: instance and incarnation."""
        return f"{self.name}@b{self.boot}"


@dataclass(slots=True)
class Run:
    """A request that an upstream ran beside the serving node ``guard``."""

    request_id: str
    key: str
    guard: str
    at: float


@dataclass(slots=True)
class Delivery:
    """A result that reached the caller of an attempt."""

    caller: str
    request_id: str
    key: str
    result: CallResult


class Simulation:
    """Entry nodes, serving nodes and a network with injected faults.

    Explanation
    ===========

    Events run in order of time, and the manual clock advances from event to
    event without sleeping.  Each step of a request takes its next fault from
    the schedule by :meth:`next_faults`.

    Parameters
    ==========

    plan : dict
        For each step, by name, the faults to inject in turn.
    """

    def __init__(self, plan: dict, components: Components, seed: int = 1) -> None:
        self.clock = ManualClock(1000.0)
        self.components = components
        self.random = Random(seed)
        self.plan = {step: list(faults) for step, faults in plan.items()}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.serving_nodes = {
            name: ServingNode(name, 1, self) for name in SERVING_NODES
        }
        self.runs: list[Run] = []
        self.deliveries: list[Delivery] = []
        self.calls_sent: dict[str, int] = {}
        self.started_after_drain: list[str] = []
        self.cut_off_by_drain: list[str] = []
        self.lost_runs: set[int] = set()
        self.client_attempts: list[ClientAttempt] = []

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        self.sequence += 1
        self.events.append((self.clock.now() + delay, self.sequence, action))

    def run(self, until: float = 600.0) -> None:
        """Run all events up to a time limit in seconds."""
        end = self.clock.now() + until
        while self.events:
            self.events.sort(key=lambda event: event[:2])
            time, _, action = self.events.pop(0)
            if time > end:
                return
            if time > self.clock.now():
                self.clock.advance(time - self.clock.now())
            action()

    def serving_node(self, identity: str) -> ServingNode | None:
        """Return the serving node of this identity, or None if it is dead."""
        for serving_node in self.serving_nodes.values():
            if serving_node.identity == identity and serving_node.alive:
                return serving_node
        return None

    def new_ticket(self, name: str) -> tuple[str, Ticket]:
        """Issue a key that only the current incarnation of a serving node may run."""
        serving_node = self.serving_nodes[name]
        nonce = self.random.getrandbits(40)
        ticket = Ticket(
            "claims",
            name,
            f"b{serving_node.boot}",
            serving_node.key_registry.epoch,
            nonce,
        )
        return f"key-{nonce}", ticket

    def next_faults(self, step: object) -> list:
        """Remove and return the next fault of a step; an empty list if none is left."""
        faults = self.plan.get(step)
        return [faults.pop(0)] if faults else []
