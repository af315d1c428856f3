"""Which client is closed or refused when a server has too many, or too little room."""

import pytest
from rattanfork_core.connections import RequestBudget

from rattanfork_node.http1.server_connection import ServerConnection
from rattanfork_node.http1.tests.fakes import Client, request

BODY = b"b" * 60_000


class CrowdedClient(Client):
    """A client of a server that it may share with others."""

    def __init__(self, first: Client | None = None) -> None:
        super().__init__()
        if first is not None:
            self.server, self.handler = first.server, first.handler
            self.clock = first.clock
            self.connection = ServerConnection(self.server)
            self.connection.connection_made(self.transport)

    def send_body(self, length: int) -> None:
        """Send 60 kB of a body of a length."""
        head = b"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        self.send(head % length + BODY)


def make_server(requests: int = 10_000_000) -> CrowdedClient:
    """Return the first client of a server with a budget for requests, in bytes."""
    first = CrowdedClient()
    first.server.requests = RequestBudget(requests)
    return CrowdedClient(first)


def test_connection_idle_longest_is_closed_for_a_new_one():
    """Guards against idle clients that keep others out."""
    first = CrowdedClient()
    first.server.max_connections = lambda: 3
    first.clock.advance(1.0)
    others = [CrowdedClient(first) for _ in range(3)]
    assert first.transport.aborted
    assert not any(client.transport.aborted for client in others)


def test_connection_within_a_request_is_closed_after_idle_ones():
    """Guards against an eviction that hits who sends before who does nothing."""
    first = CrowdedClient()
    first.server.max_connections = lambda: 2
    first.send(b"GET /a/ HTTP/1.1\r\n")
    first.clock.advance(1.0)
    idle = CrowdedClient(first)
    CrowdedClient(first)
    assert idle.transport.aborted
    assert not first.transport.aborted


def test_request_that_waits_for_its_response_keeps_its_connection():
    """Guards against whole requests that are cut off for clients that come later."""
    first = CrowdedClient()
    first.server.max_connections = lambda: 1
    first.send(request())
    newest = CrowdedClient(first)
    assert newest.transport.aborted
    assert not first.transport.aborted


def test_connection_that_closes_once_it_is_read_counts_until_then():
    """Guards against descriptors of clients that don't read the last response."""
    first = CrowdedClient()
    first.server.max_connections = lambda: 1
    first.send(request(more="Connection: close\r\n"))
    first.transport.unsent_bytes = 100_000
    first.connection.pause_writing()
    first.handled[0].respond(200, body=b"x" * 100_000)
    newest = CrowdedClient(first)
    assert first.transport.aborted
    assert not newest.transport.aborted


def test_stalled_bodies_are_refused_and_a_moving_one_is_not():
    """Guards against many bodies below the bound on one, each never complete."""
    first = make_server(500_000)
    stalled = [first, *(CrowdedClient(first) for _ in range(2))]
    for client in stalled:
        client.send_body(65_000)
    first.clock.advance(5.0)
    moving = CrowdedClient(first)
    moving.send_body(60_001)
    assert sum(b"503" in client.transport.written for client in stalled) == 1
    moving.send(b"b")
    assert [exchange.body for exchange in first.handled] == [BODY + b"b"]


def test_refused_request_reaches_no_handler_when_the_rest_arrives():
    """Guards against a request that runs after it was refused as not run."""
    first = make_server(100_000)
    first.send_body(60_001)
    assert b"HTTP/1.1 503 " in first.transport.written
    first.send(b"b")
    assert first.handled == []


def test_requests_beyond_an_equal_share_are_refused_while_room_is_short():
    """Guards against 64 requests of 60 kB on each of many connections."""
    first = make_server(500_000)
    for _ in range(8):
        first.send_body(60_000)
    assert len(first.handled) < 8
    ordinary = CrowdedClient(first)
    ordinary.send(request(request_id="small"))
    assert first.handled[-1].request_id == b"small"
    assert b"503" not in ordinary.transport.written


def test_reading_pauses_at_a_connection_that_holds_much_while_room_is_short():
    """Guards against requests that are read only to be refused."""
    first = make_server(600_000)
    for _ in range(3):
        first.send_body(60_000)
    assert not first.transport.reading
    for exchange in list(first.handled):
        exchange.respond(200)
    assert first.transport.reading


@pytest.mark.parametrize("is_lost", [False, True])
def test_all_bytes_are_returned_to_the_budget(is_lost):
    """Guards against a budget that shrinks with each request."""
    first = make_server()
    first.send(request() + request(request_id="r2") + b"GET /half")
    assert first.server.requests.held > 0
    if is_lost:
        first.connection.connection_lost(None)
    else:
        first.send(b"/ HTTP/1.1\r\nHost: h\r\n\r\n")
        for exchange in list(first.handled):
            exchange.respond(200)
    assert first.server.requests.held == 0


def test_body_in_chunks_of_one_byte_takes_no_more_than_its_size():
    """Guards against forty times the memory for a body in tiny chunks."""
    first = make_server()
    first.send(b"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
    first.send(b"1\r\nx\r\n" * 10_000)
    assert type(first.connection._body) is bytearray
    first.send(b"0\r\n\r\n")
    assert first.handled[0].body == b"x" * 10_000
