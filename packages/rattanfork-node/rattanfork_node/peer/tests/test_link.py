"""Tests of peer connections: handshake, malformed frames, silence, late replies."""

import asyncio
from math import nan

import msgpack
import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.advertised import UpstreamReport
from rattanfork_core.clock import ManualClock

from rattanfork_node.peer import (
    Call,
    FrameError,
    LinkLostError,
    PeerLink,
    Ping,
    Pong,
    Reply,
    Run,
    RunReply,
    decode_message,
    encode_message,
)
from rattanfork_node.peer.messages import MESSAGE_LEVEL

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

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def take(self) -> bytes:
        data, self.written = self.written, b""
        return data


class RecordingHandler:
    """Records the calls and rejected frames of one side."""

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.rejected: list[str] = []
        self.unfinished: list[tuple[str, int, bool]] = []
        self.errors: list[Exception] = []

    def on_call(self, link, call):
        self.calls.append(call)

    def on_unfinished(self, link, reason, runs, unsent):
        self.unfinished.append((reason, runs, unsent > 0))

    def on_error(self, link, error):
        self.errors.append(error)

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
    sent = len(frame) - 1
    assert list(message)[:sent] == frame[1:]
    assert type(message)(*frame[1:]) == message


@given(st.binary(max_size=300))
def test_arbitrary_bytes_before_handshake_cause_no_call(data):
    async def run():
        pair = LinkPair()
        pair.links[1].data_received(data)
        assert pair.handlers[1].calls == []

    uvloop.run(run())


RUN = Run(
    7, "b", "r/s", b"GET", b"/", b"", b"", b"id", 2.5, 900, True, False, False, 1, ""
)
RUN_REPLY = RunReply(7, 0, 0, 200, b"", b"whole", False, 5.0, 1, ["s"])
REPORT = UpstreamReport("u1", 5, 19.3, True)
#: Numbers of fields of these messages at message level 0.
LEVEL_0_FIELDS = {Run: 15, RunReply: 10}


@pytest.mark.parametrize("message", [RUN, RUN_REPLY])
def test_message_without_report_is_encoded_as_at_level_0(message):
    """Guards against a frame that a node of the previous build rejects."""
    frame = msgpack.unpackb(encode_message(message))
    assert len(frame) == 1 + LEVEL_0_FIELDS[type(message)]
    assert decode_message(frame) == message


@pytest.mark.parametrize("message", [RUN, RUN_REPLY])
def test_message_with_report_is_unchanged_by_encoding_and_decoding(message):
    fields = LEVEL_0_FIELDS[type(message)]
    reported = type(message)(*message[:fields], *REPORT)
    frame = msgpack.unpackb(encode_message(reported))
    assert decode_message(frame) == reported
    assert UpstreamReport(*reported[fields:]) == REPORT


@pytest.mark.parametrize(
    "report",
    [("u" * 16_385, 0, 1.0, False), ("u", -1, 1.0, False), ("u", 0, nan, False)],
)
def test_message_with_malformed_report_is_rejected(report):
    frame = msgpack.unpackb(encode_message(RUN._replace(upstream="u")))
    with pytest.raises(FrameError, match="Run."):
        decode_message(frame[:-4] + list(report))


@on_event_loop
def test_both_sides_learn_the_message_level_before_the_first_request():
    pair = LinkPair()
    pair.deliver()
    near, far = pair.links
    assert near._ready.done()
    assert (near.peer_level, far.peer_level) == (MESSAGE_LEVEL, MESSAGE_LEVEL)


@on_event_loop
def test_peer_that_returns_the_number_of_a_ping_has_level_0():
    """Guards against optional fields sent to a node of the previous build."""
    pair = LinkPair()
    pair.deliver()
    near, far = pair.links
    near.data_received(encode_message(Pong(1)))
    far.data_received(encode_message(Ping(0)))
    assert (near.peer_level, far.peer_level) == (0, 0)


@pytest.mark.parametrize("message", [CALL, REPLY, Ping(1), Pong(2)])
def test_message_is_unchanged_by_encoding_and_decoding(message):

    assert decode_message(msgpack.unpackb(encode_message(message))) == message


@on_event_loop
def test_run_that_was_not_written_is_known_when_its_link_is_lost():
    """Runs are written in batches; one may still wait when the link is lost.

    The peer can't have received it, so its sender need not ask the peer's gate.
    """
    pair = LinkPair()
    pair.deliver()
    near, _ = pair.links
    written: list[bool] = []

    def send_run() -> None:
        number = near.next_number()
        run = RUN._replace(number=number)
        near.send_run(run, lambda reply: written.append(near.was_written(number)))

    send_run()
    near.send(Ping(1))
    send_run()
    near.close("lost")
    assert written == [True, False]


@on_event_loop
def test_reply_that_is_batched_counts_as_unsent():
    """Guards against a node that exits between a reply and the write of its batch."""
    pair = LinkPair()
    pair.deliver()
    far = pair.links[1]
    assert far.unsent_bytes == 0
    far.send_batched(RUN_REPLY)
    assert far.unsent_bytes > 0
    far.close("this node stops")
    assert pair.handlers[1].unfinished == [("this node stops", 0, True)]


@pytest.mark.parametrize("error", [ValueError("x"), RuntimeError("x")])
def test_error_in_the_handling_of_a_message_costs_no_other_run(error):
    """Guards against all runs of a link that are lost by a fault in one of them."""

    def fail(link, call):
        raise error

    async def play() -> None:
        pair = LinkPair()
        pair.deliver()
        near, far = pair.links
        pair.handlers[1].on_call = fail
        near.ask(CALL)
        replies = []
        near.send_run(RUN, replies.append)
        await asyncio.sleep(0)
        pair.deliver()
        far.send(RUN_REPLY)
        pair.deliver()
        assert (near.closed, far.closed) == (False, False)
        assert pair.handlers[1].errors == [error]
        assert replies == [RUN_REPLY]

    uvloop.run(play())


PARTS = [b"0123456789abcdef" * 60, b"the end"]


@pytest.mark.parametrize("error", [None, ConnectionResetError()])
@pytest.mark.parametrize("kind", ["reply", "run", "run with a large body"])
def test_link_that_ends_within_a_reply_delivers_nothing(kind, error):
    """Guards against a broken reply that callers receive as a whole one."""

    async def receive(size: int) -> int:
        """Receive some bytes of a reply; return how many it has in all."""
        pair = LinkPair()
        pair.deliver()
        near, far = pair.links
        delivered: list[RunReply | None] = []
        if kind == "reply":
            future = near.ask(CALL)
            future.add_done_callback(
                lambda f: delivered.append(None if f.exception() else f.result())
            )
            pair.deliver()
            far.send(REPLY)
        else:
            near.send_run(RUN, delivered.append)
            await asyncio.sleep(0)
            pair.deliver()
            if kind == "run":
                far.send(RUN_REPLY)
            else:
                far.send_reply(RUN_REPLY._replace(body=b""), list(PARTS))
                await asyncio.sleep(0)
                near.data_received(pair.transports[1].take())
                far.data_received(pair.transports[0].take())
        data = pair.transports[1].take()
        near.data_received(data[:size])
        near.connection_lost(error)
        await asyncio.sleep(0)
        assert len(delivered) == 1
        assert (delivered == [None]) is (size < len(data)), size
        assert not near.usable
        return len(data)

    async def run() -> None:
        total = await receive(0)
        assert total > len(REPLY.body)
        for size in range(1, total + 1):
            assert await receive(size) == total

    asyncio.run(run())


@pytest.mark.parametrize("error", [None, ConnectionResetError()])
def test_request_that_a_link_breaks_off_is_not_handled(error):
    """Guards against a run with a part of its request."""

    async def run() -> None:
        data = encode_message(CALL)
        for size in range(len(data) + 1):
            pair = LinkPair()
            pair.deliver()
            pair.links[1].data_received(data[:size])
            pair.links[1].connection_lost(error)
            assert pair.handlers[1].calls == [CALL] * (size == len(data))

    asyncio.run(run())


def silence(pair: LinkPair, seconds: float = 1.0) -> None:
    """Let the accepting side of a pair stand still."""
    for _ in range(int(seconds * 10)):
        pair.clock.advance(0.1)
        pair.links[0].heartbeat(silence=0.6, idle=5.0)


@on_event_loop
def test_reply_of_a_peer_that_stood_still_is_delivered():
    """Guards against a lost reply to a run that only one gate can have run."""
    pair = LinkPair()
    pair.deliver()
    near, far = pair.links
    late, replies = [], []

    def done(reply):
        replies.append(reply)
        late.append(near.keep(RUN.number))

    near.send_run(RUN, done)
    silence(pair)
    assert (replies, near.usable, near.closed) == ([None], False, False)
    far.send(RUN_REPLY)
    pair.deliver()
    assert late[0].result().reply == RUN_REPLY
    silence(pair, 0.1)
    assert near.closed


@on_event_loop
def test_silent_peer_is_waited_for_within_a_bound():
    """Guards against connections to lost peers that are kept for good."""
    pair = LinkPair()
    pair.deliver()
    near = pair.links[0]
    late = []
    near.send_run(RUN, lambda reply: late.append(near.keep(RUN.number)))
    silence(pair, 10.0)
    assert near.closed
    assert late[0].result() is None
