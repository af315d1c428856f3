"""The matrix of a configuration change: steps by faults."""

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
    """Where in the life of a change a fault strikes."""

    WRITE = "operator to table"
    READ_BACK = "operator reads back"
    TABLE_READ = "reader to table"
    FETCH = "node to node"
    FRESH_START = "fresh node asks"


class ChangeFault(Enum):
    """What goes wrong."""

    LOST = "message lost"
    ANSWER_LOST = "done, answer lost"
    DOUBLED = "message doubled"
    LATE = "message late"
    TABLE_DOWN = "table down"
    SECOND_OPERATOR = "second operator"
    OPERATOR_KILLED = "operator killed"
    NODE_REPLACED = "node replaced"


@dataclass(frozen=True, slots=True)
class ChangeCell:
    """One combination."""

    faults: tuple[tuple[ChangeStep, ChangeFault], ...]


@dataclass(slots=True)
class ChangeParts:
    """The safeguards under test; a break puts a faulty one in."""

    state: type[RevisionState] = RevisionState
    machine: type[CommitMachine] = CommitMachine
    compares: bool = True


def _record(revision: int, operation: str) -> RulesRecord:
    text = f"rules: [{{name: {operation}, then: {{attempts: 1}}}}]"
    return RulesRecord(revision, operation, operation, "", text)


@dataclass(slots=True)
class ChangeWorld:
    """A table, two operators, and nodes of three data centres."""

    plan: dict[ChangeStep, list[ChangeFault]]
    parts: ChangeParts
    rows: dict[str, tuple[int, dict]] = field(default_factory=dict)
    late: list[Callable[[], object]] = field(default_factory=list)
    told: dict[str, CommitOutcome] = field(default_factory=dict)
    committed: dict[int, list[str]] = field(default_factory=dict)
    broken: set[str] = field(default_factory=set)
    nodes: dict[str, RevisionState] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Commit revision 1 and let all nodes know it."""
        self._transact(TryCommit(0, _record(1, "base")))
        for name in ("dc1", "dc2", "dc3"):
            self.nodes[name] = self.parts.state()
            self._tell(name, self._head(), from_store=True)

    def play(self) -> list[str]:
        """Play the change with its faults; return the broken promises."""
        self._operate("ann", strikes=True)
        self._read_table("dc1")
        self._fetch("dc1", "dc2")
        self._fresh_start("dc3")
        for action in self.late:
            action()
        for name in self.nodes:
            self._tell(name, self._head(), from_store=True)
        self._check()
        return sorted(self.broken)

    def _strike(self, step: ChangeStep) -> ChangeFault | None:
        faults = self.plan.get(step)
        return faults.pop(0) if faults else None

    def _head(self) -> RulesRecord:
        revision = self.rows[HEAD_KEY][1]["revision"]
        return RulesRecord.from_row(self.rows[history_key(revision)][1])

    def _transact(self, step: TryCommit) -> bool:
        version = self.rows.get(HEAD_KEY, (0, {}))[0]
        if self.parts.compares and version != step.head_version:
            return False
        for key, row in step.writes.items():
            self.rows[key] = (self.rows.get(key, (0, {}))[0] + 1, row)
        made = self.committed.setdefault(step.record.revision, [])
        made.append(step.record.operation)
        return True

    def _operate(self, operator: str, strikes: bool) -> None:
        version, row = self.rows[HEAD_KEY]
        record = _record(row["revision"] + 1, operator)
        machine = self.parts.machine(record, version)
        step = machine.start()
        while not isinstance(step, CommitOutcome):
            where = ChangeStep.WRITE
            if isinstance(step, ReadRow):
                where = ChangeStep.READ_BACK
            fault = self._strike(where) if strikes else None
            if fault is ChangeFault.OPERATOR_KILLED:
                self.late.append(lambda step=step: self._ask(step))
                return
            if fault is ChangeFault.SECOND_OPERATOR:
                self._operate("bob", strikes=False)
            step = self._answer(machine, step, fault)
        self.told[operator] = step

    def _ask(self, step: ReadRow | TryCommit) -> object:
        if isinstance(step, ReadRow):
            row = self.rows.get(step.key)
            return RulesRecord.from_row(row[1]) if row else None
        return self._transact(step)

    def _answer(
        self,
        machine: CommitMachine,
        step: ReadRow | TryCommit,
        fault: ChangeFault | None,
    ) -> object:
        if fault in (ChangeFault.LOST, ChangeFault.TABLE_DOWN):
            return machine.on_no_answer()
        if fault is ChangeFault.LATE:
            self.late.append(lambda: self._ask(step))
            return machine.on_no_answer()
        answer = self._ask(step)
        if fault is ChangeFault.DOUBLED:
            self._ask(step)
        if fault is ChangeFault.ANSWER_LOST:
            return machine.on_no_answer()
        if isinstance(step, ReadRow):
            return machine.on_row(answer)
        return machine.on_committed() if answer else machine.on_refused()

    def _tell(self, name: str, record: RulesRecord | None, from_store: bool) -> None:
        state = self.nodes[name]
        before = state.revision
        if from_store:
            state.receive_from_store(record)
        else:
            state.receive_from_peer("dc1", record)
        if state.revision < before:
            self.broken.add("a node went back to an older revision")

    def _replace(self, name: str) -> None:
        self.nodes[name] = self.parts.state()

    def _read_table(self, name: str) -> None:
        fault = self._strike(ChangeStep.TABLE_READ)
        if fault is ChangeFault.SECOND_OPERATOR:
            self._operate("bob", strikes=False)
        if fault is ChangeFault.NODE_REPLACED:
            self._replace(name)
        old = RulesRecord.from_row(self.rows[history_key(1)][1])
        if fault is ChangeFault.LATE:
            # An answer from before the change arrives after newer ones.
            self.late.append(lambda: self._tell(name, old, from_store=True))
        elif fault not in (
            ChangeFault.LOST,
            ChangeFault.ANSWER_LOST,
            ChangeFault.TABLE_DOWN,
        ):
            self._tell(name, self._head(), from_store=True)
            if fault is ChangeFault.DOUBLED:
                self._tell(name, self._head(), from_store=True)

    def _fetch(self, source: str, target: str) -> None:
        fault = self._strike(ChangeStep.FETCH)
        if fault is ChangeFault.NODE_REPLACED:
            self._replace(source)
        record = self.nodes[source].record if self.nodes[source].ready else None
        if fault in (ChangeFault.LOST, ChangeFault.ANSWER_LOST) or record is None:
            return
        self._tell(target, record, from_store=False)
        if fault in (ChangeFault.DOUBLED, ChangeFault.LATE):
            self.late.append(lambda: self._tell(target, record, from_store=False))

    def _fresh_start(self, name: str) -> None:
        """Replace a node while the table is down; it has peers only."""
        fault = self._strike(ChangeStep.FRESH_START)
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
            self.broken.add("a fresh node took work under older rules")
        if state.ready and len(peers) < 2:
            self.broken.add("a fresh node took work on one data centre's word")

    def _check(self) -> None:
        head = self._head()
        for operator, outcome in self.told.items():
            made = [r for r, ops in self.committed.items() if operator in ops]
            if outcome.status is CommitStatus.ACCEPTED and not made:
                self.broken.add("told accepted, and not committed")
            if outcome.status is CommitStatus.CONFLICT and made:
                self.broken.add("told conflict, and committed")
            for revision in made:
                row = self.rows[history_key(revision)][1]
                if row["operation"] != operator:
                    self.broken.add("an accepted change is gone")
        if any(len(set(ops)) > 1 for ops in self.committed.values()):
            self.broken.add("two changes under one revision")
        if any(len(ops) > 1 for ops in self.committed.values()):
            self.broken.add("a change was committed twice")
        if any(state.revision != head.revision for state in self.nodes.values()):
            self.broken.add("the accepted revision is not in force everywhere")


def change_cells() -> Iterator[ChangeCell]:
    """Yield every fault at every step, alone, twice, and in pairs."""
    single = list(product(ChangeStep, ChangeFault))
    for strike in single:
        yield ChangeCell((strike,))
        yield ChangeCell((strike, strike))
    for first, second in product(single, single):
        if first != second:
            yield ChangeCell((first, second))


def run_change(cell: ChangeCell, parts: ChangeParts | None = None) -> list[str]:
    """Play a cell; return the promises it broke."""
    plan: dict[ChangeStep, list[ChangeFault]] = {}
    for step, fault in cell.faults:
        plan.setdefault(step, []).append(fault)
    return ChangeWorld(plan, parts or ChangeParts()).play()


class _TakesAnyRevision(RevisionState):
    """Takes older revisions as well."""

    def _apply_if_newer(self, record, rules):
        if record is not None:
            self._record = record
        return True


class _ReadyAtOnce(RevisionState):
    """Takes work on the first word."""

    def __init__(self):
        super().__init__(data_centres_needed=1)


class _BelievesAnAbsentRow(CommitMachine):
    """Takes an unanswered write for one that did not happen."""

    def on_no_answer(self):
        return CommitOutcome(CommitStatus.CONFLICT, None)


CHANGE_BREAKS = (
    ("older revisions are taken", ChangeParts(state=_TakesAnyRevision), "older"),
    ("ready on one word", ChangeParts(state=_ReadyAtOnce), "fresh node"),
    ("no answer is taken for no", ChangeParts(machine=_BelievesAnAbsentRow), "told"),
    ("writes do not compare", ChangeParts(compares=False), "change"),
)
