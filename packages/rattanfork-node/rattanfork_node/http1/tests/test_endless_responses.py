"""Tests of responses whose head, body or framing does not end."""

import asyncio
from itertools import chain, repeat

import pytest
from rattanfork_core.clock import ManualClock
from rattanfork_core.connections import ResponseBudget

from rattanfork_node.http1 import UpstreamConnection
from rattanfork_node.http1.tests.fakes import FakeTransport
from rattanfork_node.http1.tests.test_upstream import on_loop, response

_WAIT_LIMIT_S = 10.0
_PIECE_BYTES = 16 << 10
#: Bytes besides bodies that a connection may receive for one request, with the piece
#: that exceeds the bound.
_MAX_OVERHEAD_BYTES = (64 << 10) + _PIECE_BYTES
_CHUNKED = b"HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n"
_FILLER = b"x" * _PIECE_BYTES
#: Beginning of a response, and what the upstream then repeats without end.
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", _FILLER),
    "header": (b"HTTP/1.1 200 OK\r\nA: ", _FILLER),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 2000),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 500),
    "chunk extension": (_CHUNKED + b"1;", _FILLER),
    "trailer": (_CHUNKED + b"0\r\nA: ", _FILLER),
    "responses to others": (b"", response("other")),
}


class Connections:
    """Connections of one node that share a budget."""

    def __init__(self, capacity: int) -> None:
        self.budget = ResponseBudget(capacity)
        self.responses: dict[UpstreamConnection, list] = {}

    def send_request(self) -> UpstreamConnection:
        """Open a connection and send a request on it."""
        connection = UpstreamConnection(
            ManualClock(),
            b"id",
            frozenset(),
            lambda _: None,
            lambda _: None,
            budget=self.budget,
        )
        connection.connection_made(FakeTransport())
        received = self.responses[connection] = []
        connection.send(b"...", b"r", received.append)
        return connection

    def is_aborted(self, connection: UpstreamConnection) -> bool:
        """Return whether a connection was aborted."""
        return connection._transport.aborted

    async def receive(self, connection: UpstreamConnection, data: bytes) -> None:
        """Receive data, and then nothing while reading is paused."""
        connection.data_received(data)
        async with asyncio.timeout(_WAIT_LIMIT_S):
            while not (connection._transport.reading or self.is_aborted(connection)):
                await asyncio.sleep(0)

    async def receive_endless(self, connection: UpstreamConnection, name: str) -> int:
        """Receive an endless response until it is aborted; return the bytes."""
        begin, repeated = ENDLESS[name]
        received = 0
        for data in chain([begin], repeat(repeated, 10_000)):
            await self.receive(connection, data)
            received += len(data)
            if self.is_aborted(connection):
                break
        return received


@pytest.mark.parametrize("name", ENDLESS)
def test_endless_part_of_a_response_is_aborted(name):
    """Guards against memory and time spent on a head or framing that does not end."""
    asyncio.run(_receive_until_aborted(name))


async def _receive_until_aborted(name: str) -> None:
    connections = Connections(1 << 30)
    connection = connections.send_request()
    received = await connections.receive_endless(connection, name)
    assert connections.is_aborted(connection)
    assert received <= _MAX_OVERHEAD_BYTES + _PIECE_BYTES


@on_loop
def test_body_without_end_is_aborted_at_the_budget():
    """Guards against a node that exceeds its memory limit with one response."""
    connections = Connections(1 << 20)
    connection = connections.send_request()
    connection.data_received(b"HTTP/1.1 200 OK\r\nId: r\r\n\r\n")
    for _ in range(65):
        connection.data_received(_FILLER)
    assert connections.is_aborted(connection)
    assert connections.budget.held == 0
    connection.connection_lost(None)
    assert connections.responses[connection] == [None]


@on_loop
def test_response_with_an_end_completes_beside_bodies_without_one():
    """Guards against a budget that endless bodies take from all other responses."""
    connections = Connections(1 << 20)
    endless = [connections.send_request() for _ in range(8)]
    other = connections.send_request()
    for connection in endless:
        connection.data_received(b"HTTP/1.1 200 OK\r\nId: r\r\n\r\n")
    other.data_received(b"HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 131072\r\n\r\n")
    for _ in range(8):
        for _ in range(4):
            for connection in endless:
                connection.data_received(_FILLER)
        other.data_received(_FILLER)
    assert [len(r.body) for r in connections.responses[other]] == [131072]
    assert any(connections.is_aborted(connection) for connection in endless)
    assert connections.budget.held <= 1 << 20


@on_loop
def test_bytes_of_a_cancelled_response_are_freed():
    """Guards against a budget that callers who have left go on using."""
    connections = Connections(1 << 20)
    connection = connections.send_request()
    connection.data_received(b"HTTP/1.1 200 OK\r\nId: r\r\n\r\n")
    for _ in range(6):
        connection.data_received(_FILLER)
    assert connections.budget.held == 6 * _PIECE_BYTES
    connection.abort()
    assert connections.budget.held == 0


def test_body_in_chunks_of_one_byte_is_complete():
    """Guards against a bound on framing that rejects small chunks."""
    asyncio.run(_receive_chunks_of_one_byte())


async def _receive_chunks_of_one_byte() -> None:
    connections = Connections(1 << 20)
    connection = connections.send_request()
    connection.data_received(_CHUNKED)
    for _ in range(1000):
        await connections.receive(connection, b"1\r\nx\r\n" * 200)
    await connections.receive(connection, b"0\r\n\r\n")
    [received] = connections.responses[connection]
    assert len(received.body) == 200_000


@on_loop
def test_idle_connection_does_not_keep_its_last_body():
    """Guards against memory for the last response of each idle connection."""
    connections = Connections(1 << 20)
    connection = connections.send_request()
    connection.data_received(response("r", "x" * 100_000))
    assert connection._body.take_parts() == []
    assert connections.budget.held == 0
