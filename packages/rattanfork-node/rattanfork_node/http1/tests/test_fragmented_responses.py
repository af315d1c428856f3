"""Tests of responses that arrive in a great many small pieces."""

import asyncio
from functools import wraps

import pytest
import uvloop
from rattanfork_core.clock import ManualClock, MonotonicClock
from rattanfork_core.connections import ResponseBudget

from rattanfork_node.http1 import HttpClient, UpstreamConnection
from rattanfork_node.http1.input_pacer import InputPacer
from rattanfork_node.http1.tests.fakes import FakeTransport
from rattanfork_node.http1.tests.stall_meter import StallMeter

#: What an event loop reads from a socket at once, in bytes.
_READ_BYTES = 256 << 10
#: Processor time, in seconds, after which other connections must be served.
_MAX_STALL_S = 0.01
_WAIT_LIMIT_S = 10.0
_HEAD = b"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n"
_CHUNK = b"1\r\nx\r\n"
_END = b"0\r\n\r\n"
_COUNT = (_READ_BYTES - len(_HEAD) - len(_END)) // len(_CHUNK)
#: A whole response that fills one read.
RESPONSE = _HEAD + _COUNT * _CHUNK + _END


def on_loop(test):
    """Decorate an asynchronous test to run on an event loop of its own."""

    @wraps(test)
    def run(*args, **kwargs):
        asyncio.run(test(*args, **kwargs))

    return run


class Upstream:
    """Connection to an upstream that was sent a request."""

    def __init__(
        self, budget: ResponseBudget | None = None, pacer: InputPacer | None = None
    ) -> None:
        self.budget = budget or ResponseBudget()
        self.responses = []
        self.idle = []
        self.closed = []
        self.transport = FakeTransport()
        self.connection = UpstreamConnection(
            ManualClock(),
            b"id",
            frozenset(),
            self.idle.append,
            self.closed.append,
            budget=self.budget,
            pacer=pacer,
        )
        self.connection.connection_made(self.transport)
        self.send_request()

    def send_request(self) -> None:
        self.connection.send(b"...", b"r", self.responses.append)

    def receive(self, data: bytes) -> None:
        self.connection.data_received(data)

    async def wait_for_response(self) -> None:
        await wait_until(lambda: self.responses)


async def wait_until(holds) -> None:
    """Poll a condition until it holds."""
    async with asyncio.timeout(_WAIT_LIMIT_S):
        while not holds():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("count", [1, 12])
@on_loop
async def test_chunks_of_one_byte_leave_the_event_loop_to_others(count):
    """Guards against a response that stalls the node while it is parsed."""
    pacer = InputPacer()
    upstreams = [Upstream(pacer=pacer) for _ in range(count)]
    with StallMeter() as stalls:
        for upstream in upstreams:
            upstream.receive(RESPONSE)
            await asyncio.sleep(0)
        await upstreams[0].wait_for_response()
    assert stalls.longest < _MAX_STALL_S
    assert upstreams[0].responses[0].body == _COUNT * b"x"
    assert upstreams[0].idle == [upstreams[0].connection]
    assert upstreams[0].budget.held == 0


@on_loop
async def test_nothing_is_read_while_input_waits():
    """Guards against an event loop that reads on where it has just been fed."""
    upstream = Upstream()
    upstream.receive(RESPONSE)
    assert not upstream.transport.reading
    await upstream.wait_for_response()
    assert upstream.transport.reading


@on_loop
async def test_response_of_large_pieces_is_parsed_as_it_arrives():
    """Guards against ordinary responses that wait for a turn."""
    upstream = Upstream()
    size = 4 << 20
    data = b"HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: %d\r\n\r\n" % size
    data += bytes(size)
    for start in range(0, len(data), _READ_BYTES):
        upstream.receive(data[start : start + _READ_BYTES])
        assert upstream.transport.reading
    assert [len(r.body) for r in upstream.responses] == [size]


@on_loop
async def test_next_response_on_the_connection_is_parsed_as_it_arrives():
    """Guards against a connection that stays slow after a fragmented response."""
    upstream = Upstream()
    upstream.receive(RESPONSE)
    await upstream.wait_for_response()
    upstream.send_request()
    upstream.receive(b"HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok")
    assert [len(r.body) for r in upstream.responses] == [_COUNT, 2]


@on_loop
async def test_waiting_bytes_count_against_the_budget():
    """Guards against memory that no budget knows of."""
    upstream = Upstream(ResponseBudget(1 << 20))
    upstream.receive(RESPONSE)
    assert upstream.budget.held > _READ_BYTES - (64 << 10)


@pytest.mark.parametrize("cause", ["abort", "evict", "overhead"])
@on_loop
async def test_closed_connection_parses_no_more(cause):
    """Guards against bytes that stay, and cost time, after their connection."""
    budget = ResponseBudget(300 << 10)
    upstream = Upstream(budget)
    upstream.receive(RESPONSE if cause != "overhead" else _HEAD + _CHUNK * 300)
    if cause == "abort":
        upstream.connection.abort()
    elif cause == "evict":
        budget.hold(other := Upstream(budget).connection, 200 << 10)
        budget.release(other)
    else:
        upstream.receive(b"1;%b\r\nx\r\n" % (b"e" * (200 << 10)))
        await wait_until(lambda: upstream.transport.aborted)
    assert upstream.transport.aborted
    upstream.connection.connection_lost(None)
    assert budget.held == 0
    await asyncio.sleep(0.05)
    assert upstream.responses == ([] if cause == "abort" else [None])
    assert upstream.closed == [upstream.connection]


@on_loop
async def test_bytes_behind_a_fragmented_response_close_the_connection():
    """Guards against the response to another request, seen only after the release."""
    upstream = Upstream()
    upstream.receive(RESPONSE + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    await upstream.wait_for_response()
    await wait_until(lambda: upstream.transport.aborted)
    assert [len(r.body) for r in upstream.responses] == [_COUNT]
    assert upstream.idle == []
    assert upstream.closed == [upstream.connection]


@pytest.mark.parametrize("fragments", [b"", 1000 * _CHUNK])
@on_loop
async def test_malformed_bytes_behind_a_response_close_the_connection(fragments):
    """Guards against an aborted connection that returns to the pool."""
    upstream = Upstream()
    upstream.receive(_HEAD + fragments + _END + b"\x00")
    await upstream.wait_for_response()
    await wait_until(lambda: upstream.transport.aborted)
    assert upstream.idle == []


@on_loop
async def test_body_evicted_after_the_end_of_file_is_no_response():
    """Guards against half of a body without a length that is taken for whole."""
    upstream = Upstream(ResponseBudget(64 << 10))
    fields = b"A: b\r\n" * 4000
    upstream.receive(b"HTTP/1.1 200 OK\r\nId: r\r\n%b\r\nwhole" % fields)
    upstream.connection.eof_received()
    upstream.connection.evict()
    await asyncio.sleep(0.05)
    upstream.connection.connection_lost(None)
    assert upstream.responses == [None]


@pytest.mark.parametrize("how", ["end of file", "loss", "reset"])
@on_loop
async def test_response_received_whole_before_the_close_is_delivered(how):
    """Guards against an answer that is lost with the connection while it waits."""
    upstream = Upstream()
    upstream.receive(RESPONSE)
    if how == "end of file":
        upstream.connection.eof_received()
    else:
        upstream.transport.abort()
        error = ConnectionResetError() if how == "reset" else None
        upstream.connection.connection_lost(error)
    await upstream.wait_for_response()
    assert [len(r.body) for r in upstream.responses] == [_COUNT]
    assert upstream.idle == []
    assert upstream.budget.held == 0
    await wait_until(upstream.transport.is_closing)


@pytest.mark.parametrize("how", ["end of file", "loss"])
@on_loop
async def test_response_cut_within_what_waits_is_none(how):
    """Guards against a request without an answer, or with half of one."""
    upstream = Upstream()
    upstream.receive(RESPONSE[:-1])
    if how == "end of file":
        upstream.connection.eof_received()
        await wait_until(upstream.transport.is_closing)
    else:
        upstream.transport.abort()
    upstream.connection.connection_lost(None)
    await upstream.wait_for_response()
    assert upstream.responses == [None]
    assert upstream.closed == [upstream.connection]


@on_loop
async def test_body_until_the_close_waits_behind_a_head_of_many_fields():
    """Guards against a body that ends with its connection before it is parsed."""
    upstream = Upstream()
    fields = b"A: b\r\n" * 4000
    upstream.receive(b"HTTP/1.1 200 OK\r\nId: r\r\n%b\r\nwhole" % fields)
    upstream.connection.eof_received()
    await upstream.wait_for_response()
    assert [r.body for r in upstream.responses] == [b"whole"]


class FragmentingServer(asyncio.Protocol):
    """Answers each request with the same response in chunks of one byte."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._transport.write(_HEAD + 4 * _COUNT * _CHUNK + _END)


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_client_takes_a_response_in_chunks_of_one_byte(run):
    """Guards against a health probe or call of the store that stalls the node."""
    run(_request_fragments())


async def _request_fragments() -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(FragmentingServer, "127.0.0.1", 0)
    client = HttpClient(MonotonicClock(), *server.sockets[0].getsockname())
    with StallMeter() as stalls:
        response = await client.request(b"GET", b"/health", timeout=_WAIT_LIMIT_S)
    client.close()
    server.close()
    assert stalls.longest < _MAX_STALL_S
    assert response.body == 4 * _COUNT * b"x"
