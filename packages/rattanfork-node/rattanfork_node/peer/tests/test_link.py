"""Tests of peer connections: handshake, malformed frames, silence, late replies."""

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


class FakeTransport(asyncio.Transport):
    """Buffers what one side writes until the test delivers it."""

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


class RecordingHandler:
    """Records the calls and rejected frames of one side."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.rejected: list[str] = []

    def on_call(self, link, call):
        self.calls.append(call)

    def on_bad_frame(self, reason):
        self.rejected.append(reason)

    def __getattr__(self, name):
        return lambda *arguments: None


class LinkPair:
    """Both sides of one connection."""

    def __init__(self, keys=(b"key", b"key")) -> None:
        self.clock = ManualClock(100.0)
        self.handlers = (RecordingHandler(), RecordingHandler())
        self.links = tuple(
            PeerLink(self.clock, key, name, "dc", handler, 4096, connecting)
            for key, name, handler, connecting in zip(
                keys, ("near", "far"), self.handlers, (True, False), strict=True
            )
        )
        self.transports = (FakeTransport(), FakeTransport())
        for link, transport in zip(self.links, self.transports, strict=True):
            link.connection_made(transport)

    def deliver(self) -> None:
        for _ in range(6):
            for side in (0, 1):
                data = self.transports[side].take()
                if data and not self.links[1 - side].closed:
                    self.links[1 - side].data_received(data)


def on_event_loop(test):
    async def run():
        test()

    return lambda: uvloop.run(run())


@on_event_loop
def test_links_with_same_key_exchange_messages():
    pair = LinkPair()
    pair.deliver()
    near, far = pair.links
    assert near.usable
    assert far.usable
    assert (near.peer, far.peer) == ("far", "near")
    reply_future = near.ask(CALL)
    pair.deliver()
    assert pair.handlers[1].calls == [CALL]
    far.send(REPLY)
    pair.deliver()
    assert reply_future.result() == REPLY


@on_event_loop
def test_peer_with_wrong_key_is_rejected():
    pair = LinkPair(keys=(b"wrong", b"key"))
    pair.deliver()
    assert not pair.links[0].usable
    assert pair.links[1].closed
    assert pair.handlers[1].calls == []


@on_event_loop
def test_reply_without_pending_request_is_dropped():
    # A late or duplicate reply, or one to a dropped request: matched to the next
    # pending request, it would give a caller the response of another caller.
    pair = LinkPair()
    pair.deliver()
    near, far = pair.links
    reply_future = near.ask(CALL)
    near.forget(CALL.number)
    other = near.ask(CALL._replace(number=2))
    far.send(REPLY)
    far.send(REPLY)
    pair.deliver()
    assert not reply_future.done()
    assert not other.done()
    assert near.late_replies == 2


@on_event_loop
def test_silent_connection_is_closed_and_its_requests_fail():
    # A device between the two sides dropped the connection's state: writes
    # succeed, but no data arrives.
    pair = LinkPair()
    pair.deliver()
    near = pair.links[0]
    reply_future = near.ask(CALL)
    for _ in range(10):
        pair.clock.advance(0.1)
        near.heartbeat(silence=0.6, idle=5.0)
    assert near.closed
    with pytest.raises(LinkLostError):
        reply_future.result()


@on_event_loop
def test_slow_request_does_not_close_a_live_connection():
    pair = LinkPair()
    pair.deliver()
    near = pair.links[0]
    near.ask(CALL)
    for _ in range(100):
        pair.clock.advance(0.1)
        near.heartbeat(silence=0.6, idle=5.0)
        pair.deliver()
    assert near.usable


@on_event_loop
def test_pause_of_own_process_does_not_close_connection():
    # After a pause of this process, replies may be unread in its socket buffer.
    pair = LinkPair()
    pair.deliver()
    near = pair.links[0]
    near.ask(CALL)
    near.heartbeat(silence=0.6, idle=5.0)
    pair.clock.advance(0.2)
    near.heartbeat(silence=0.6, idle=5.0)
    pair.clock.advance(60)
    near.heartbeat(silence=0.6, idle=5.0)
    assert near.usable


@on_event_loop
def test_oversized_frame_closes_connection():
    pair = LinkPair()
    pair.deliver()
    pair.links[0].send(CALL._replace(body=b"x" * 600_000))
    pair.deliver()
    assert pair.links[1].closed
    assert len(pair.handlers[1].rejected) == 1


FRAMES = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 300) | st.binary() | st.text(),
    lambda inner: st.lists(inner, max_size=16),
    max_leaves=20,
)


@given(FRAMES)
def test_decoding_any_frame_returns_message_or_raises_frame_error(frame):
    try:
        message = decode_message(frame)
    except FrameError:
        return
    assert list(message) == frame[1:]


@given(st.binary(max_size=300))
def test_arbitrary_bytes_before_handshake_cause_no_call(data):
    async def run():
        pair = LinkPair()
        pair.links[1].data_received(data)
        assert pair.handlers[1].calls == []

    uvloop.run(run())


@pytest.mark.parametrize("message", [CALL, REPLY, Ping(1), Pong(2)])
def test_message_is_unchanged_by_encoding_and_decoding(message):
    import msgpack

    assert decode_message(msgpack.unpackb(encode_message(message))) == message
