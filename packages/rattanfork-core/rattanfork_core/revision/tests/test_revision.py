"""An accepted change stays in force, whatever the table and operators do."""

from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.revision import (
    CommitMachine,
    CommitOutcome,
    CommitStatus,
    ReadRow,
    RevisionState,
    RulesRecord,
)
from rattanfork_core.revision.record import HEAD_KEY

TEXT = "rules: [{name: a, then: {importance: high}}]"


class FakeTable:
    """A table whose answers get lost and whose writes come late."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[int, dict]] = {}
        self.late: list = []
        self.accepted: list[str] = []

    def read(self, key):
        return self.rows.get(key, (0, None))

    def transact(self, step) -> bool:
        if self.read(HEAD_KEY)[0] != step.head_version:
            return False
        for key, row in step.writes.items():
            self.rows[key] = (self.read(key)[0] + 1, row)
        self.accepted.append(step.record.operation)
        return True


FAULTS = st.lists(
    st.sampled_from(["fine", "down", "answer lost", "applied late"]), max_size=12
)


def commit(table: FakeTable, operation: str, faults: list[str], others=()):
    """Commit one change under faults; others commit in between."""
    version, head = table.read(HEAD_KEY)
    revision = head["revision"] + 1 if head else 1
    record = RulesRecord(revision, operation, "ann", "", TEXT)
    machine = CommitMachine(record, version)
    step = machine.start()
    others = list(others)
    while not isinstance(step, CommitOutcome):
        fault = faults.pop(0) if faults else "fine"
        if others:
            others.pop(0)()
        if fault == "down":
            step = machine.on_no_answer()
        elif isinstance(step, ReadRow):
            row = table.read(step.key)[1]
            found = RulesRecord.from_row(row) if row else None
            step = machine.on_row(found)
        elif fault == "applied late":
            sent = step
            table.late.append(lambda sent=sent: table.transact(sent))
            step = machine.on_no_answer()
        else:
            done = table.transact(step)
            if fault == "answer lost":
                step = machine.on_no_answer()
            else:
                step = machine.on_committed() if done else machine.on_refused()
    for late in table.late:
        late()
    return step


@given(FAULTS)
def test_accepted_means_committed_once(faults):
    table = FakeTable()
    outcome = commit(table, "op1", faults)
    assert table.accepted.count("op1") <= 1
    if outcome.status is CommitStatus.ACCEPTED:
        assert table.read(HEAD_KEY)[1]["operation"] == "op1"
    assert outcome.status is not CommitStatus.CONFLICT


@given(FAULTS, st.integers(1, 3))
def test_of_two_operators_one_wins_and_the_other_sees_the_change(faults, place):
    # Two operators change the rules at the same moment.  Were both told
    # "accepted", one of the changes would silently be gone.
    table = FakeTable()
    theirs: list[CommitOutcome] = []

    def other() -> None:
        theirs.append(commit(table, "theirs", []))

    idle = [lambda: None] * (place - 1)
    mine = commit(table, "mine", faults, [*idle, other])
    told = [o.status for o in (mine, *theirs)]
    if mine.status is CommitStatus.CONFLICT:
        assert mine.record.operation == "theirs"
    if theirs and theirs[0].record and theirs[0].record.revision == 1:
        assert told.count(CommitStatus.ACCEPTED) == 1 or (
            mine.status is CommitStatus.UNKNOWN
        )


RECORDS = st.integers(0, 6).map(lambda n: RulesRecord(n, f"op{n}", "", "", TEXT))
NEWS = st.lists(
    st.tuples(st.sampled_from(["store", "dc1", "dc2"]), st.none() | RECORDS)
)


@given(NEWS)
def test_the_revision_in_force_never_goes_back(news):
    # A replaced instance must not bring an old rule set back, in whatever
    # order late messages and reads arrive.
    state = RevisionState()
    highest = 0
    for source, record in news:
        before = state.revision
        if source == "store":
            state.receive_from_store(record)
        else:
            state.receive_from_peer(source, record)
        highest = max(highest, record.revision if record else 0)
        assert state.revision >= before
    assert state.revision == highest


@given(NEWS)
def test_a_fresh_node_is_ready_by_the_table_or_two_data_centres(news):
    state = RevisionState(data_centres_needed=2)
    for source, record in news:
        if source == "store":
            state.receive_from_store(record)
        else:
            state.receive_from_peer(source, record)
    sources = {source for source, _ in news}
    assert state.ready == ("store" in sources or sources >= {"dc1", "dc2"})


@given(
    st.lists(st.tuples(st.integers(1, 3), st.integers(1, 4)), min_size=1, max_size=12),
    st.randoms(),
)
def test_rules_in_force_never_go_back_across_restores(accepted, random):
    """Guards against numbers of revisions that a restored store gives out again."""
    records = [
        RulesRecord(revision, f"{era}.{revision}", "ann", "", TEXT, era)
        for era, revision in accepted
    ]
    received = records * 2
    random.shuffle(received)
    state = RevisionState(data_centres_needed=2)
    before = 0
    for number, record in enumerate(received):
        if number % 2:
            state.receive_from_store(record)
        else:
            state.receive_from_peer("dc1", record)
        assert state.order >= before
        before = state.order
    assert state.record == max(
        records, key=lambda record: (record.era, record.revision)
    )


def test_row_without_an_era_is_of_the_first():
    row = RulesRecord(3, "op", "ann", "", TEXT).as_row()
    del row["era"]
    assert RulesRecord.from_row(row).order == 3
