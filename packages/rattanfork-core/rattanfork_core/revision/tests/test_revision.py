"""Accepted changes stay in force through store faults and concurrent commits."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.membership import (
    CachedVersions,
    Member,
    Ping,
    decode_gossip,
    encode_gossip,
)
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
    """Table that may lose replies and apply writes late."""

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
    st.sampled_from(["none", "down", "reply lost", "applied late"]), max_size=12
)


def commit(table: FakeTable, operation: str, faults: list[str], others=()):
    """Commit one change with faults; ``others`` are called between its steps."""
    version, head = table.read(HEAD_KEY)
    revision = head["revision"] + 1 if head else 1
    record = RulesRecord(revision, operation, "ann", "", TEXT)
    machine = CommitMachine(record, version)
    step = machine.start()
    others = list(others)
    while not isinstance(step, CommitOutcome):
        fault = faults.pop(0) if faults else "none"
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
            committed = table.transact(step)
            if fault == "reply lost":
                step = machine.on_no_answer()
            else:
                step = machine.on_committed() if committed else machine.on_refused()
    for late in table.late:
        late()
    return step


@given(FAULTS)
def test_change_is_committed_at_most_once(faults):
    table = FakeTable()
    outcome = commit(table, "op1", faults)
    assert table.accepted.count("op1") <= 1
    if outcome.status is CommitStatus.ACCEPTED:
        assert table.read(HEAD_KEY)[1]["operation"] == "op1"
    assert outcome.status is not CommitStatus.CONFLICT


@given(FAULTS, st.integers(1, 3))
def test_one_of_two_concurrent_commits_is_accepted(faults, position):
    # Guards against a lost update: if both commits were reported as accepted, one of
    # the changes would be overwritten unnoticed.
    table = FakeTable()
    theirs: list[CommitOutcome] = []

    def other() -> None:
        theirs.append(commit(table, "theirs", []))

    idle = [lambda: None] * (position - 1)
    mine = commit(table, "mine", faults, [*idle, other])
    statuses = [o.status for o in (mine, *theirs)]
    if mine.status is CommitStatus.CONFLICT:
        assert mine.record.operation == "theirs"
    if theirs and theirs[0].record and theirs[0].record.revision == 1:
        assert statuses.count(CommitStatus.ACCEPTED) == 1 or (
            mine.status is CommitStatus.UNKNOWN
        )


RECORDS = st.integers(0, 6).map(lambda n: RulesRecord(n, f"op{n}", "", "", TEXT))
RECEIVED = st.lists(
    st.tuples(st.sampled_from(["store", "dc1", "dc2"]), st.none() | RECORDS)
)


@given(RECEIVED)
def test_revision_in_force_never_decreases(received):
    # Guards against a peer that was down for a while and sends old rules: late
    # messages and reads may arrive in any order.
    state = RevisionState()
    highest = 0
    for source, record in received:
        before = state.revision
        if source == "store":
            state.receive_from_store(record)
        else:
            state.receive_from_peer(source, record)
        highest = max(highest, record.revision if record else 0)
        assert state.revision >= before
    assert state.revision == highest


@given(RECEIVED)
def test_new_node_is_ready_after_the_table_or_two_data_centres(received):
    state = RevisionState(data_centres_needed=2)
    for source, record in received:
        if source == "store":
            state.receive_from_store(record)
        else:
            state.receive_from_peer(source, record)
    sources = {source for source, _ in received}
    assert state.ready == ("store" in sources or sources >= {"dc1", "dc2"})


@given(
    st.lists(st.tuples(st.integers(1, 3), st.integers(1, 4)), min_size=1, max_size=12),
    st.randoms(),
)
def test_rules_in_force_are_never_older_after_the_store_is_restored(accepted, random):
    """Guards against revision numbers that a restored store uses a second time."""
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


def test_row_without_an_era_has_era_zero():
    row = RulesRecord(3, "op", "ann", "", TEXT).as_row()
    del row["era"]
    assert RulesRecord.from_row(row).order == 3


def row(revision: int, era: int) -> dict[str, object]:
    """Return a row of the table of rules."""
    return RulesRecord(revision, "op", "ann", "", "rules: []", era).as_row()


@pytest.mark.parametrize(
    ("revision", "era"), [(2**32, 0), (10**400, 0), (-1, 0), (1, 2**30), (1, 10**400)]
)
def test_order_that_no_message_can_carry_is_rejected(revision, era):
    """Guards against nodes that lose each other because they can't send gossip."""
    with pytest.raises(ValueError, match="revision and era"):
        RulesRecord.from_row(row(revision, era))


def test_largest_order_fits_into_a_datagram():
    order = RulesRecord.from_row(row(2**32 - 1, 2**30 - 1)).order
    me = Member("n1", "b", "s", "z", "127.0.0.1", 1, 1, 8)
    ping = Ping(1, me, "n2@b", CachedVersions(rules=order), ())
    assert decode_gossip(encode_gossip(ping, b"k"), b"k") == ping
