"""Each promise, kept and broken: the soak must see the difference."""

from random import Random

import pytest
from rattanfork_soak.checks import Checks
from rattanfork_soak.keys import KeyRing
from rattanfork_soak.record import Record
from rattanfork_soak.worker import Arrival, SoakWorker


class History:
    """What clients and one worker saw, told by hand."""

    def __init__(self) -> None:
        self.worker = SoakWorker("i0", Random(1), lambda: 0.0)
        self.time = 0.0
        self.keys = KeyRing(lambda: self.time)
        self.checks = Checks([self.worker], timeout=2.0, keys=self.keys)

    def ask(self, request_id: str = "r1", idempotent: bool = False) -> Record:
        text = "GET /a/x " if idempotent else f"POST /p/x order {request_id}"
        record = Record(request_id, "n0", 7, text, idempotent, sent=1.0)
        self.checks.on_sent(record)
        return record

    def run(self, record: Record, at: float = 1.1, text: str = "", **more) -> None:
        text = text or record.text
        arrival = Arrival(record.request_id, at, "i0-1", text, **more)
        self.worker.arrivals.append(arrival)

    def answer(self, record: Record, status: int, stamp: str = "", **more) -> None:
        record.ended = more.get("at", 1.2)
        record.status, record.stamp = status, stamp
        record.body = more.get("body", f"{record.request_id} {record.text}")
        self.checks.on_ended(record, paused=more.get("paused", False))

    @property
    def broken(self) -> set[str]:
        self.checks.review()
        return {finding.promise for finding in self.checks.findings}


def test_a_request_served_as_it_should_be_breaks_nothing():
    history = History()
    record = history.ask()
    history.run(record)
    history.answer(record, 200, "i0-1.200")
    assert history.broken == set()


def test_a_posting_that_runs_twice_is_seen():
    history = History()
    record = history.ask()
    history.run(record)
    history.run(record, at=1.5)
    assert history.broken == {"twice"}


def test_a_read_may_run_twice():
    history = History()
    record = history.ask(idempotent=True)
    history.run(record)
    history.run(record, at=1.5)
    assert history.broken == set()


@pytest.mark.parametrize("status", [408, 421, 429, 503])
@pytest.mark.parametrize("runs_first", [True, False])
def test_a_false_word_that_a_posting_did_not_run_is_seen(status, runs_first):
    history = History()
    record = history.ask()
    if runs_first:
        history.run(record)
    history.answer(record, status)
    if not runs_first:
        history.run(record, at=3.0)
    assert "refused" in history.broken


@pytest.mark.parametrize(
    ("status", "stamp", "body"),
    [
        (200, "i0-1.200", "r2 GET /a/x "),
        (200, "i0-1.200", "r1 POST /p/x ord"),
        (200, "", "r1 POST /p/x order r1"),
        (200, "i0-1.500", "r1 POST /p/x order r1"),
        (502, "i0-1.500", ""),
    ],
)
def test_an_answer_that_is_not_the_workers_own_is_seen(status, stamp, body):
    history = History()
    record = history.ask()
    history.run(record)
    history.answer(record, status, stamp, body=body)
    assert history.broken == {"mixed"}


def test_a_request_that_nobody_sent_or_that_was_changed_is_seen():
    history = History()
    record = history.ask()
    history.run(record, text="POST /p/x order r9")
    assert history.broken == {"unasked"}


def test_work_after_an_acknowledged_leaving_is_seen():
    history = History()
    record = history.ask()
    history.worker.left["i0-1"] = 1.0
    history.run(record, at=2.9)
    assert history.broken == set()
    history.run(history.ask("r2"), at=3.5)
    assert history.broken == {"drain"}


def test_a_version_that_a_process_forgets_is_seen():
    history = History()
    history.checks.on_probe(7, version=3, status=200, at=1.0)
    history.checks.on_probe(7, version=4, status=404, at=1.1)
    history.checks.on_probe(8, version=2, status=404, at=1.2)
    assert history.broken == set()
    history.checks.on_probe(7, version=3, status=404, at=1.3)
    assert history.broken == {"configuration"}


def test_an_answer_long_after_the_time_of_its_route_is_seen():
    history = History()
    record = history.ask(idempotent=True)
    history.answer(record, 504, at=4.5, paused=True)
    assert history.broken == set()
    history.answer(record, 504, at=4.5)
    assert history.broken == {"time"}


def test_a_system_that_does_not_recover_is_seen():
    history = History()
    for number in range(10):
        record = history.ask(f"r{number}", idempotent=True)
        served = number < 8
        history.answer(record, 200 if served else 503, "i0-1.200" if served else "")
    history.checks.check_recovery(since=0.5)
    assert history.broken == {"recovery"}


@pytest.mark.parametrize(("runs_after", "found"), [(3, set()), (4, {"budget"})])
def test_deadly_request_that_goes_on_being_run_is_seen(runs_after, found):
    history = History()
    ends = [1.0, 1.1, 1.2]
    later = [9.0 + number for number in range(runs_after)]
    for number, at in enumerate([*ends, *later]):
        record = history.ask(f"r{number}", idempotent=True)
        record.text = "GET /a/deadly "
        history.run(record, at=at)
    history.checks.check_deadly()
    assert history.broken == found


@pytest.mark.parametrize(("in_touch", "found"), [(True, {"budget"}), (False, set())])
def test_deadly_runs_count_only_from_nodes_in_touch(in_touch, found):
    """Guards against blaming a node that has just started and knows nobody yet."""
    history = History()
    for number, at in enumerate([1.0, 1.1, 1.2, 9.0, 9.1, 9.2, 9.3]):
        record = history.ask(f"r{number}", idempotent=True)
        record.text = "GET /a/deadly "
        record.in_touch = in_touch or at < 9.3
        history.run(record, at=at)
    history.checks.check_deadly()
    assert history.broken == found


@pytest.mark.parametrize(("sent", "found"), [(4.0, set()), (4.5, {"revoked"})])
def test_key_that_was_taken_away_is_seen_to_run(sent, found):
    history = History()
    old = history.keys.current
    history.keys.add()
    history.keys.take_away()
    record = history.ask(idempotent=True)
    record.key, record.sent = old, sent
    history.run(record, at=sent + 0.1)
    assert history.broken == found


@pytest.mark.parametrize("more", [{"has_key": True}, {"account": ""}])
def test_worker_that_gets_a_key_or_no_account_is_seen(more):
    history = History()
    history.run(history.ask(), **more)
    assert history.broken == {"unasked"}


@pytest.mark.parametrize(("sent", "found"), [(1.0, set()), (6.0, {"denied"})])
def test_good_key_that_is_called_unknown_is_seen(sent, found):
    history = History()
    record = history.ask()
    record.key, record.sent = history.keys.current, sent
    history.answer(record, 401, at=sent + 0.1)
    assert history.broken == found
