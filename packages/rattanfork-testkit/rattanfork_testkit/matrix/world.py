"""A small world of core objects, driven step by step."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from rattanfork_core.account import Account
from rattanfork_core.admission import AdmissionController, AdmissionSettings
from rattanfork_core.atmostonce import ConnectionLedger, RunLedger, Ticket
from rattanfork_core.clock import ManualClock
from rattanfork_core.request import CallResult, RequestStateMachine

if TYPE_CHECKING:
    from rattanfork_testkit.matrix.attempt import Try


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
    machine: type[RequestStateMachine] = RequestStateMachine
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

    def take_faults(self, step: object) -> list:
        """Return the next fault planned for a step, if any is left."""
        faults = self.plan.get(step)
        return [faults.pop(0)] if faults else []
