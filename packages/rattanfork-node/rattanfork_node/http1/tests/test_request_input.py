"""Tests of requests whose input waits for turns, without sockets."""

import asyncio

import pytest
from rattanfork_core.clock import ManualClock
from rattanfork_core.connections import RequestBudget
from rattanfork_core.request import Reason

from rattanfork_node.http1 import RequestLimits, ServerConnection
from rattanfork_node.http1.input_pacer import InputPacer, PacedInput
from rattanfork_node.http1.tests.fakes import Client, request
from rattanfork_node.http1.tests.upload_client import UploadClient

CHUNK = b"1\r\nx\r\n"
END = b"0\r\n\r\n"
HEAD = (
    b"POST /a/ HTTP/1.1\r\nHost: h\r\nRattanfork-Request-Id: c1\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


class SteppedPacer(InputPacer):
    """Gives turns only when the test asks for them."""

    def __init__(self) -> None:
        super().__init__(ManualClock())
        self.sources: list[PacedInput] = []

    def enqueue(self, source: PacedInput) -> None:
        self.sources.append(source)

    def discard(self, source: PacedInput) -> None:
        if source in self.sources:
            self.sources.remove(source)

    def run(self, turns: int = 1_000_000) -> None:
        """Give turns until none is waited for."""
        while self.sources and turns:
            turns -= 1
            source = self.sources.pop(0)
            if source.take_turn():
                self.sources.append(source)


class PacedClient(Client):
    """A client of a server that parses fragmented input in turns."""

    def __init__(self, limits: RequestLimits | None = None) -> None:
        super().__init__(limits)
        self.pacer = pace(self)


class PacedUploadClient(UploadClient):
    """The same, of a server that takes uploads."""

    def __init__(self, capacity: int = 1 << 20) -> None:
        super().__init__(capacity)
        self.pacer = pace(self)


def pace(client: Client | UploadClient) -> SteppedPacer:
    """Connect a client again, to a server with a pacer."""
    client.server.connections.clear()
    client.server.pacer = SteppedPacer()
    client.connection = ServerConnection(client.server)
    client.connection.connection_made(client.transport)
    return client.server.pacer


def test_fragmented_body_waits_and_is_received_whole():
    """Guards against bytes that are lost, or in another order, after they waited."""
    client = PacedClient()
    body = bytes(number % 251 for number in range(20_000))
    client.send(HEAD + b"".join(b"1\r\n%c\r\n" % byte for byte in body) + END)
    assert not client.handled
    assert not client.transport.reading
    client.pacer.run()
    assert [exchange.body for exchange in client.handled] == [body]
    assert client.transport.reading


def test_further_bytes_of_a_connection_that_waits_keep_their_order():
    """Guards against bytes parsed before others that were received earlier."""
    client = PacedClient()
    client.send(HEAD + CHUNK * 10_000)
    client.send(CHUNK * 10 + END + request(request_id="r2"))
    assert not client.handled
    client.pacer.run()
    assert [e.request_id for e in client.handled] == [b"c1", b"r2"]
    assert len(client.handled[0].body) == 10_010


def test_whole_request_that_waits_is_known_before_it_is_parsed():
    """Guards against a node that exits with whole requests which wait for a turn."""
    client = PacedClient()
    client.send(HEAD + CHUNK * 20_000 + END)
    assert client.server.unread_connections == 1
    client.pacer.run()
    assert client.server.unread_connections == 0
    assert client.server.in_flight == 1


def test_bytes_that_wait_count_with_the_read_that_holds_them():
    """Guards against memory that is held by the last byte of a large read."""
    client = PacedClient()
    data = HEAD + CHUNK * 20_000
    client.send(data)
    client.pacer.run(turns=100)
    assert client.server.requests.held >= len(data)


def test_plain_body_does_not_wait():
    """Guards against large bodies that are slow beside fragmented ones."""
    client = PacedClient()
    head = b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"
    client.send(head + b"x" * 500_000)
    assert len(client.handled) == 1
    assert not client.pacer.sources


def test_many_requests_read_at_once_take_turns_and_are_all_handled():
    """Guards against a client that keeps others waiting with pipelined requests."""
    client = PacedClient()
    client.send(b"".join(request(request_id=f"r{i}") for i in range(2000)))
    assert len(client.handled) < 200
    client.pacer.run()
    assert [e.request_id for e in client.handled] == [b"r%d" % i for i in range(2000)]


def test_requests_that_wait_are_answered_when_the_server_leaves():
    """Guards against requests that were read and get no answer in a planned stop."""
    client = PacedClient()
    client.send(b"".join(request(request_id=f"r{i}") for i in range(300)))
    client.server.leave()
    assert not client.transport.closed
    client.pacer.run()
    for exchange in list(client.handled):
        exchange.respond(200)
    assert client.statuses == [200] * 300
    assert client.transport.closed


def test_request_behind_one_that_closes_the_connection_never_runs():
    """Guards against a request that runs although its client may send it again."""
    client = PacedClient()
    close = b"GET /a/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    client.send(HEAD + CHUNK * 10_000 + END + close + request(request_id="late"))
    client.pacer.run()
    assert len(client.handled) == 2


def test_connection_whose_input_waits_is_not_idle():
    """Guards against requests that were read and are discarded as idleness."""
    client = PacedClient(RequestLimits(idle_timeout=5.0))
    client.send(b"".join(request(request_id=f"r{i}") for i in range(300)))
    for exchange in list(client.handled):
        exchange.respond(200)
    client.clock.advance(6.0)
    client.server.sweep()
    client.server.leave()
    assert not client.transport.closed
    client.pacer.run()
    assert len(client.handled) == 300


def test_head_that_waits_is_not_timed_out():
    """Guards against 408 for a head that this side has not parsed."""
    client = PacedClient(RequestLimits(head_timeout=2.0))
    fields = b"".join(b"a:\r\n" for _ in range(3000))
    client.send(b"GET /a/ HTTP/1.1\r\nHost: h\r\n" + fields)
    assert client.pacer.sources
    client.clock.advance(3.0)
    client.server.sweep()
    client.pacer.run()
    client.server.sweep()
    assert client.statuses == []
    client.clock.advance(2.5)
    client.server.sweep()
    assert client.statuses == [408]


@pytest.mark.parametrize("is_lost", [False, True])
def test_bytes_that_wait_count_against_the_budget(is_lost):
    """Guards against memory that no budget bounds, and one that shrinks."""
    client = PacedClient()
    client.server.requests = RequestBudget(10_000_000)
    pace(client)
    client.send(HEAD + CHUNK * 40_000 + END)
    assert client.server.requests.held > 200_000
    if is_lost:
        client.connection.connection_lost(None)
        assert not client.server.pacer.sources
    else:
        client.server.pacer.run()
        client.handled[0].respond(200)
    assert client.server.requests.held == 0


def test_input_that_waits_is_refused_once_the_budget_is_exhausted():
    """Guards against a refusal that carries the ID of a request that ran."""
    client = PacedClient()
    client.server.requests = RequestBudget(400_000)
    pace(client)
    client.send(request(request_id="ran") + HEAD + CHUNK * 40_000)
    client.handled[0].respond(200)
    assert client.statuses == [200, 503]
    assert b"Id: c1" in client.transport.written.rpartition(b" 503 ")[2]
    assert not client.server.pacer.sources
    assert client.server.requests.held == 0


def test_upload_that_waits_is_refused_once_the_budget_is_exhausted():
    """Guards against uploads that are told to be malformed for want of memory."""

    async def run() -> None:
        client = PacedUploadClient()
        client.server.requests = RequestBudget(400_000)
        pace(client)
        client.send(HEAD + CHUNK * 40_000)
        assert client.handler.refused == [Reason.NO_BODY_ROOM]
        assert client.statuses == [503]
        assert client.server.requests.held == 0

    asyncio.run(run())


def test_rest_of_a_refused_body_is_parsed_in_turns():
    """Guards against a refused body that keeps others waiting while it is drained."""

    async def run() -> None:
        client = PacedUploadClient()
        client.handler.decision = "refuse"
        client.send(HEAD)
        assert client.statuses == [503]
        client.send(CHUNK * 10_000 + END)
        assert client.pacer.sources
        assert not client.transport.reading
        assert not client.transport.closed
        client.pacer.run()
        assert client.transport.closed
        assert client.events["upload.drained"] == 1

    asyncio.run(run())


def test_drain_reads_on_after_its_input_waited():
    """Guards against a refused client that waits for the end of the drain."""

    async def run() -> None:
        client = PacedUploadClient()
        client.handler.decision = "refuse"
        client.send(HEAD)
        client.send(CHUNK * 10_000)
        client.pacer.run()
        assert client.transport.reading
        client.send(END)
        client.pacer.run()
        assert client.transport.closed

    asyncio.run(run())


def test_body_longer_than_declared_is_refused_after_it_waited():
    """Guards against an upload that runs though bytes behind it show its end wrong."""
    client = PacedUploadClient()

    async def run() -> None:
        client.send(HEAD + CHUNK * 10_000 + END + b"\x00garbage")
        client.pacer.run()

    asyncio.run(run())
    assert client.handler.refused == [Reason.BODY_INCOMPLETE]
    assert not client.handler.complete


def test_malformed_input_that_waited_is_refused():
    """Guards against input that is parsed after an error in it."""
    client = PacedClient()
    client.send(HEAD + CHUNK * 10_000 + b"zz\r\n" + request(request_id="late") * 100)
    client.pacer.run()
    assert client.statuses == [400]
    assert not client.handled
    assert not client.pacer.sources
