"""Fault matrix of a rules change: commit, propagation and start of a node."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from itertools import product

from rattanfork_core.revision import (
    CommitMachine,
    CommitOutcome,
    CommitStatus,
    ReadRow,
    RevisionState,
    RulesRecord,
    TryCommit,
)
from rattanfork_core.revision.record import HEAD_KEY, history_key


class ChangeStep(Enum):
    """Step of a configuration change at which a fault is injected."""

    WRITE = "operator writes to table"
    READ_BACK = "operator reads back"
    TABLE_READ = "node reads table"
    FETCH = "node fetches from peer"
    NEW_NODE = "new node asks peers"


class ChangeFault(Enum):
    """Fault that is injected."""

    LOST = "message lost"
    ANSWER_LOST = "applied, answer lost"
    DUPLICATED = "message duplicated"
    DELAYED = "message delayed"
    TABLE_DOWN = "table unavailable"
    SECOND_OPERATOR = "concurrent operator"
    OPERATOR_KILLED = "operator killed"
    NODE_REPLACED = "node replaced"


@dataclass(frozen=True, slots=True)
class ChangeCell:
    """Faults that are injected, in order."""

    faults: tuple[tuple[ChangeStep, ChangeFault], ...]


@dataclass(slots=True)
class ChangeComponents:
    """Classes that the simulation is built from; a mutant replaces one."""

    state: type[RevisionState] = RevisionState
    machine: type[CommitMachine] = CommitMachine
    compares_version: bool = True


def _record(revision: int, operation: str) -> RulesRecord:
    text = f"rules: [{{name: {operation}, then: {{attempts: 1}}}}]"
    return RulesRecord(revision, operation, operation, "", text)


@dataclass(slots=True)
class ChangeSimulation:
    """Simulated table, two operators, and one node in each of three data centres."""

    plan: dict[ChangeStep, list[ChangeFault]]
    components: ChangeComponents
    rows: dict[str, tuple[int, dict]] = field(default_factory=dict)
    late: list[Callable[[], object]] = field(default_factory=list)
    outcomes: dict[str, CommitOutcome] = field(default_factory=dict)
    committed: dict[int, list[str]] = field(default_factory=dict)
    violations: set[str] = field(default_factory=set)
    nodes: dict[str, RevisionState] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Commit revision 1 and deliver it to all nodes."""
        self._transact(TryCommit(0, _record(1, "base")))
        for name in ("dc1", "dc2", "dc3"):
            self.nodes[name] = self.components.state()
            self._deliver(name, self._head(), from_store=True)

    def run(self) -> list[str]:
        """Simulate the change with its faults; return the violated guarantees."""
        self._commit_change("ann", with_faults=True)
        self._read_table("dc1")
        self._fetch("dc1", "dc2")
        self._start_new_node("dc3")
        for action in self.late:
            action()
        for name in self.nodes:
            self._deliver(name, self._head(), from_store=True)
        self._check()
        return sorted(self.violations)

    def _next_fault(self, step: ChangeStep) -> ChangeFault | None:
        faults = self.plan.get(step)
        return faults.pop(0) if faults else None

    def _head(self) -> RulesRecord:
        revision = self.rows[HEAD_KEY][1]["revision"]
        return RulesRecord.from_row(self.rows[history_key(revision)][1])

    def _transact(self, step: TryCommit) -> bool:
        version = self.rows.get(HEAD_KEY, (0, {}))[0]
        if self.components.compares_version and version != step.head_version:
            return False
        for key, row in step.writes.items():
            self.rows[key] = (self.rows.get(key, (0, {}))[0] + 1, row)
        made = self.committed.setdefault(step.record.revision, [])
        made.append(step.record.operation)
        return True

    def _commit_change(self, operator: str, with_faults: bool) -> None:
        version, row = self.rows[HEAD_KEY]
        record = _record(row["revision"] + 1, operator)
        machine = self.components.machine(record, version)
        step = machine.start()
        while not isinstance(step, CommitOutcome):
            current = ChangeStep.WRITE
            if isinstance(step, ReadRow):
                current = ChangeStep.READ_BACK
            fault = self._next_fault(current) if with_faults else None
            if fault is ChangeFault.OPERATOR_KILLED:
                self.late.append(lambda step=step: self._apply(step))
                return
            if fault is ChangeFault.SECOND_OPERATOR:
                self._commit_change("bob", with_faults=False)
            step = self._respond(machine, step, fault)
        self.outcomes[operator] = step

    def _apply(self, step: ReadRow | TryCommit) -> object:
        if isinstance(step, ReadRow):
            row = self.rows.get(step.key)
            return RulesRecord.from_row(row[1]) if row else None
        return self._transact(step)

    def _respond(
        self,
        machine: CommitMachine,
        step: ReadRow | TryCommit,
        fault: ChangeFault | None,
    ) -> object:
        if fault in (ChangeFault.LOST, ChangeFault.TABLE_DOWN):
            return machine.on_no_answer()
        if fault is ChangeFault.DELAYED:
            self.late.append(lambda: self._apply(step))
            return machine.on_no_answer()
        answer = self._apply(step)
        if fault is ChangeFault.DUPLICATED:
            self._apply(step)
        if fault is ChangeFault.ANSWER_LOST:
            return machine.on_no_answer()
        if isinstance(step, ReadRow):
            return machine.on_row(answer)
        return machine.on_committed() if answer else machine.on_refused()

    def _deliver(self, name: str, record: RulesRecord | None, from_store: bool) -> None:
        state = self.nodes[name]
        before = state.revision
        if from_store:
            state.receive_from_store(record)
        else:
            state.receive_from_peer("dc1", record)
        if state.revision < before:
            self.violations.add("a node went back to an older revision")

    def _replace(self, name: str) -> None:
        self.nodes[name] = self.components.state()

    def _read_table(self, name: str) -> None:
        fault = self._next_fault(ChangeStep.TABLE_READ)
        if fault is ChangeFault.SECOND_OPERATOR:
            self._commit_change("bob", with_faults=False)
        if fault is ChangeFault.NODE_REPLACED:
            self._replace(name)
        old = RulesRecord.from_row(self.rows[history_key(1)][1])
        if fault is ChangeFault.DELAYED:
            # An answer read before the change arrives after newer answers.
            self.late.append(lambda: self._deliver(name, old, from_store=True))
        elif fault not in (
            ChangeFault.LOST,
            ChangeFault.ANSWER_LOST,
            ChangeFault.TABLE_DOWN,
        ):
            self._deliver(name, self._head(), from_store=True)
            if fault is ChangeFault.DUPLICATED:
                self._deliver(name, self._head(), from_store=True)

    def _fetch(self, source: str, target: str) -> None:
        fault = self._next_fault(ChangeStep.FETCH)
        if fault is ChangeFault.NODE_REPLACED:
            self._replace(source)
        record = self.nodes[source].record if self.nodes[source].ready else None
        if fault in (ChangeFault.LOST, ChangeFault.ANSWER_LOST) or record is None:
            return
        self._deliver(target, record, from_store=False)
        if fault in (ChangeFault.DUPLICATED, ChangeFault.DELAYED):
            self.late.append(lambda: self._deliver(target, record, from_store=False))

    def _start_new_node(self, name: str) -> None:
        """Replace a node while the table is unavailable, so that only peers answer."""
        fault = self._next_fault(ChangeStep.NEW_NODE)
        self._replace(name)
        state = self.nodes[name]
        accepted = max(node.revision for node in self.nodes.values())
        peers = ["dc1", "dc2"]
        if fault in (ChangeFault.LOST, ChangeFault.NODE_REPLACED):
            peers = ["dc2"]
        for peer in peers:
            if self.nodes[peer].ready:
                state.receive_from_peer(peer, self.nodes[peer].record)
        if state.ready and state.revision < accepted:
            self.violations.add("a new node became ready with older rules")
        if state.ready and len(peers) < 2:
            self.violations.add(
                "a new node became ready on the answer of one data centre"
            )

    def _check(self) -> None:
        head = self._head()
        for operator, outcome in self.outcomes.items():
            made = [r for r, ops in self.committed.items() if operator in ops]
            if outcome.status is CommitStatus.ACCEPTED and not made:
                self.violations.add("reported as accepted, but not committed")
            if outcome.status is CommitStatus.CONFLICT and made:
                self.violations.add("reported as conflict, but committed")
            for revision in made:
                row = self.rows[history_key(revision)][1]
                if row["operation"] != operator:
                    self.violations.add("an accepted change was overwritten")
        if any(len(set(ops)) > 1 for ops in self.committed.values()):
            self.violations.add("two changes share a revision")
        if any(len(ops) > 1 for ops in self.committed.values()):
            self.violations.add("a change was committed twice")
        if any(state.revision != head.revision for state in self.nodes.values()):
            self.violations.add("the accepted revision is not in force everywhere")


def change_cells() -> Iterator[ChangeCell]:
    """Yield all cells: each fault at each step, once, twice and in pairs."""
    single_faults = list(product(ChangeStep, ChangeFault))
    for fault in single_faults:
        yield ChangeCell((fault,))
        yield ChangeCell((fault, fault))
    for first, second in product(single_faults, single_faults):
        if first != second:
            yield ChangeCell((first, second))


def run_change(
    cell: ChangeCell, components: ChangeComponents | None = None
) -> list[str]:
    """Simulate a cell; return the violated guarantees."""
    plan: dict[ChangeStep, list[ChangeFault]] = {}
    for step, fault in cell.faults:
        plan.setdefault(step, []).append(fault)
    return ChangeSimulation(plan, components or ChangeComponents()).run()


class _AcceptsOlderRevision(RevisionState):
    """Replaces the revision in force by an older one."""

    def _apply_if_newer(self, record, rules):
        if record is not None:
            self._record = record
        return True


class _ReadyAfterOneAnswer(RevisionState):
    """Becomes ready after the answer of one data centre."""

    def __init__(self):
        super().__init__(data_centres_needed=1)


class _TreatsNoAnswerAsConflict(CommitMachine):
    """Treats a write without an answer as not committed."""

    def on_no_answer(self):
        return CommitOutcome(CommitStatus.CONFLICT, None)


CHANGE_MUTANTS = (
    (
        "older revisions are accepted",
        ChangeComponents(state=_AcceptsOlderRevision),
        "older",
    ),
    (
        "ready after one answer",
        ChangeComponents(state=_ReadyAfterOneAnswer),
        "new node",
    ),
    (
        "no answer counts as conflict",
        ChangeComponents(machine=_TreatsNoAnswerAsConflict),
        "reported as",
    ),
    (
        "writes do not compare versions",
        ChangeComponents(compares_version=False),
        "change",
    ),
)
