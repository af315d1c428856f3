"""Bodies of replies that are passed between nodes in parts."""

import pytest
from rattanfork_core.connections import ResponseBudget, ResponseHolder

from rattanfork_node.peer import BodyPart, BodyStart, FrameError, RunReply
from rattanfork_node.peer.body_sender import BodySender
from rattanfork_node.peer.reply_bodies import OutgoingReplyBody, ReplyBodyReceiver

BODY = b"0123456789abcdef" * 20_000


def reply(number: int) -> RunReply:
    return RunReply(number, 0, 0, 200, b"", b"", False, 0.0, 0, [])


class Unread(ResponseHolder):
    """A response that its reader leaves."""

    def evict(self) -> None:
        pass


class Gate:
    """Both ends of a link: a gate that sends, an entry node that receives."""

    def __init__(self, gate_bytes: int = 1 << 20, entry_bytes: int = 1 << 20) -> None:
        self.gate_budget = ResponseBudget(gate_bytes)
        self.entry_budget = ResponseBudget(entry_bytes)
        self.sender = BodySender(lambda part: self.receiver.on_part(part))
        self.receiver = ReplyBodyReceiver(
            self.entry_budget,
            lambda credit: self.sender.on_credit(credit),
            self.on_complete,
            lambda failed: self.failed.append(failed.number),
        )
        self.completed: dict[int, bytes] = {}
        self.failed: list[int] = []

    def on_complete(self, complete: RunReply) -> None:
        self.completed[complete.number] = b"".join(self.receiver.take())

    def send(self, number: int, body: bytes = BODY) -> OutgoingReplyBody:
        outgoing = OutgoingReplyBody(
            [body], self.gate_budget, lambda: self.on_evicted(number)
        )
        self.sender.add(number, outgoing)
        self.receiver.on_start(BodyStart(number, outgoing.size, 0))
        self.receiver.on_reply(reply(number))
        if outgoing.remaining:
            outgoing.hold()
        return outgoing

    def on_evicted(self, number: int) -> None:
        self.sender.drop(number)
        self.receiver.on_part(BodyPart(number, b""))


def test_body_arrives_whole_and_leaves_nothing_counted():
    """Guards against bytes that stay in a budget for good."""
    link = Gate()
    link.send(1)
    assert link.completed == {1: BODY}
    assert (link.gate_budget.held, link.entry_budget.held) == (0, 0)


def test_body_waits_at_its_gate_until_the_entry_node_has_room():
    """Guards against an entry node that its peers fill beyond its memory."""
    link = Gate(entry_bytes=len(BODY) + 10)
    unread = Unread()
    link.entry_budget.hold(unread, 100)
    link.send(1)
    assert link.completed == {}
    assert (link.gate_budget.held, link.entry_budget.held) == (len(BODY), 100)
    link.entry_budget.release(unread)
    assert link.completed == {1: BODY}


def test_slow_client_does_not_hold_back_the_responses_of_others():
    """Guards against one body that blocks all others of its link."""
    link = Gate(gate_bytes=4 << 20, entry_bytes=len(BODY) * 2)
    unread = Unread()
    link.entry_budget.hold(unread, len(BODY) + 100)
    link.send(1)
    link.sender.drop(1)
    assert link.receiver.drop(1)
    link.send(2, b"x" * 1000)
    assert link.completed == {2: b"x" * 1000}


def test_dropped_body_fails_its_reply_and_no_other():
    """Guards against a response that ends early and looks complete."""
    link = Gate(gate_bytes=len(BODY) + 10, entry_bytes=len(BODY) + 10)
    link.entry_budget.hold(Unread(), 100)
    link.send(1)
    link.send(2, BODY[:-8])
    assert link.failed == [1]
    assert link.completed == {}
    assert link.gate_budget.held == len(BODY) - 8


@pytest.mark.parametrize("size", [len(BODY) - 1, 10])
def test_body_larger_than_announced_is_rejected(size):
    """Guards against a peer that sends more than there is room for."""
    link = Gate()
    link.receiver.on_start(BodyStart(1, size, 0))
    link.receiver.on_reply(reply(1))
    with pytest.raises(FrameError, match="larger than announced"):
        link.receiver.on_part(BodyPart(1, BODY))


def test_parts_of_a_dropped_body_are_ignored():
    """Guards against a late part that ends a link."""
    link = Gate()
    link.receiver.on_start(BodyStart(1, 10, 0))
    link.receiver.drop(1)
    link.receiver.on_part(BodyPart(1, b"late"))
    assert link.entry_budget.held == 0
