"""Streams between nodes: strangers, bad frames, silence, late answers."""

import asyncio

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_node.peer import (
    Call,
    FrameError,
    LinkLostError,
    PeerLink,
    Ping,
    Pong,
    Reply,
    decode_message,
    encode_message,
)

CALL = Call(
    1, "b", "get", "GET", "/get", [["A", "b"]], b"", "r", "c", 2, 2.5, 900, 1, "", True
)
REPLY = Reply(1, 0, 0, 200, [], b"whole", 1, False, 0, 5.0, 1)


class Wire(asyncio.Transport):
    """Keeps what one side writes until the test delivers it."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.aborted = False

    def write(self, data):
        self.written += data

    def abort(self):
        self.aborted = True

    def take(self) -> bytes:
        data, self.written = self.written, b""
        return data


class Handler:
    """Keeps what a side was asked."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.bad: list[str] = []

    def on_call(self, link, call):
        self.calls.append(call)

    def on_bad_frame(self, reason):
        self.bad.append(reason)

    def __getattr__(self, name):
        return lambda *arguments: None


class Pair:
    """Two ends of one connection."""

    def __init__(self, keys=(b"key", b"key")) -> None:
        self.clock = ManualClock(100.0)
        self.handlers = (Handler(), Handler())
        self.links = tuple(
            PeerLink(self.clock, key, name, "dc", handler, 4096, connecting)
            for key, name, handler, connecting in zip(
                keys, ("near", "far"), self.handlers, (True, False), strict=True
            )
        )
        self.wires = (Wire(), Wire())
        for link, wire in zip(self.links, self.wires, strict=True):
            link.connection_made(wire)

    def deliver(self) -> None:
        for _ in range(6):
            for side in (0, 1):
                data = self.wires[side].take()
                if data and not self.links[1 - side].closed:
                    self.links[1 - side].data_received(data)


def on_loop(test):
    async def run():
        test()

    return lambda: uvloop.run(run())


@on_loop
def test_both_sides_prove_the_key_and_then_talk():
    pair = Pair()
    pair.deliver()
    near, far = pair.links
    assert near.usable
    assert far.usable
    assert (near.peer, far.peer) == ("far", "near")
    answer = near.ask(CALL)
    pair.deliver()
    assert pair.handlers[1].calls == [CALL]
    far.send(REPLY)
    pair.deliver()
    assert answer.result() == REPLY


@on_loop
def test_without_the_key_nothing_is_taken():
    pair = Pair(keys=(b"wrong", b"key"))
    pair.deliver()
    assert not pair.links[0].usable
    assert pair.links[1].closed
    assert pair.handlers[1].calls == []


@on_loop
def test_an_answer_nobody_waits_for_is_dropped():
    # It came late, or doubled, or for a call that was given up: given to the
    # next that waits, a caller would get another caller's answer.
    pair = Pair()
    pair.deliver()
    near, far = pair.links
    answer = near.ask(CALL)
    near.forget(CALL.number)
    other = near.ask(CALL._replace(number=2))
    far.send(REPLY)
    far.send(REPLY)
    pair.deliver()
    assert not answer.done()
    assert not other.done()
    assert near.late_replies == 2


@on_loop
def test_a_silent_connection_is_found_and_its_calls_are_told():
    # Something between the ends lost track of the connection: writes are
    # taken, and nothing comes.
    pair = Pair()
    pair.deliver()
    near = pair.links[0]
    answer = near.ask(CALL)
    for _ in range(10):
        pair.clock.advance(0.1)
        near.heartbeat(silence=0.6, idle=5.0)
    assert near.closed
    with pytest.raises(LinkLostError):
        answer.result()


@on_loop
def test_a_slow_call_on_a_live_connection_is_not_silence():
    pair = Pair()
    pair.deliver()
    near = pair.links[0]
    near.ask(CALL)
    for _ in range(100):
        pair.clock.advance(0.1)
        near.heartbeat(silence=0.6, idle=5.0)
        pair.deliver()
    assert near.usable


@on_loop
def test_the_own_pause_is_not_taken_for_silence():
    # This process was stopped; answers lie unread in its socket.
    pair = Pair()
    pair.deliver()
    near = pair.links[0]
    near.ask(CALL)
    near.heartbeat(silence=0.6, idle=5.0)
    pair.clock.advance(0.2)
    near.heartbeat(silence=0.6, idle=5.0)
    pair.clock.advance(60)
    near.heartbeat(silence=0.6, idle=5.0)
    assert near.usable


@on_loop
def test_a_frame_over_the_limit_closes_the_connection():
    pair = Pair()
    pair.deliver()
    pair.links[0].send(CALL._replace(body=b"x" * 600_000))
    pair.deliver()
    assert pair.links[1].closed
    assert len(pair.handlers[1].bad) == 1


JUNK = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 300) | st.binary() | st.text(),
    lambda inner: st.lists(inner, max_size=16),
    max_leaves=20,
)


@given(JUNK)
def test_any_frame_is_a_message_or_an_error(frame):
    try:
        message = decode_message(frame)
    except FrameError:
        return
    assert list(message) == frame[1:]


@given(st.binary(max_size=300))
def test_any_bytes_from_a_stranger_are_survived(data):
    async def run():
        pair = Pair()
        pair.links[1].data_received(data)
        assert pair.handlers[1].calls == []

    uvloop.run(run())


@pytest.mark.parametrize("message", [CALL, REPLY, Ping(1), Pong(2)])
def test_messages_survive_the_wire(message):
    import msgpack

    assert decode_message(msgpack.unpackb(encode_message(message))) == message
