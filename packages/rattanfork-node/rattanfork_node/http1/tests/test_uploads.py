"""Tests of uploads at a client connection, with a fake transport."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.connections import RequestBudget
from rattanfork_core.request import Reason

from rattanfork_node.http1 import RequestLimits
from rattanfork_node.http1.tests.fakes import request
from rattanfork_node.http1.tests.upload_client import (
    BODY,
    UploadClient,
    chunked,
    head,
)
from rattanfork_node.relay.tests.fakes import on_loop


@on_loop
async def test_accepted_body_is_read_whole():
    for length, data in ((len(BODY), BODY), (None, chunked(BODY))):
        client = UploadClient()
        client.send(head(length) + data[:300])
        assert client.handler.complete == []
        client.send(data[300:])
        assert [e.body for e in client.handler.complete] == [BODY]
        client.handler.complete[0].respond(200)
        assert client.statuses == [200]
        assert not client.transport.closed
        assert client.budget.held == 0


@on_loop
async def test_upload_that_offers_an_upgrade_keeps_its_body():
    """Guards against an upload that runs without its body, as no length is declared."""
    offer = b"\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
    for length, data in ((len(BODY), BODY), (None, chunked(BODY))):
        client = UploadClient()
        client.send(head(length).removesuffix(b"\r\n\r\n") + offer + data)
        assert [e.body for e in client.handler.complete] == [BODY]
        client.handler.complete[0].respond(200)
        client.send(request())
        assert len(client.handler.requests) == 1


@on_loop
async def test_small_body_and_unclaimed_route_are_read_before_they_are_handled():
    client = UploadClient()
    client.send(head(16_384) + b"x" * 16_384)
    client.handler.decision = "pass"
    client.send(head() + BODY + request())
    assert client.handler.heads == []
    assert [len(e.body) for e in client.handler.requests] == [16_384, 20_000, 0]


@on_loop
async def test_reading_pauses_until_the_head_is_decided_on_and_there_is_room():
    """Guards against bodies that fill the memory of the node while they wait."""
    client = UploadClient(capacity=60_000)
    client.handler.decision = "wait"
    client.send(head())
    assert not client.transport.reading
    client.handler.accept(client.handler.heads[0])
    assert client.transport.reading
    other = UploadClient(server=client.server)
    client.handler.decision = "accept"
    other.send(head())
    assert not other.transport.reading
    client.send(BODY)
    client.handler.complete[0].respond(200)
    assert other.transport.reading


@on_loop
async def test_refused_upload_is_answered_at_once_and_the_rest_discarded():
    """A client reads its response only after it has sent its whole body.

    Closing with unread bytes would reset the connection and lose the response.
    """
    client = UploadClient()
    client.handler.decision = "refuse"
    client.send(head() + BODY[:100])
    assert client.statuses == [503]
    assert b"Connection: close" in client.transport.written
    assert not client.transport.closed
    assert client.transport.reading
    client.send(BODY[100:])
    assert client.transport.closed
    assert client.events["upload.drained"] == 1


@on_loop
async def test_request_after_refused_upload_is_not_handled():
    """The client assumes that requests after the close were not processed."""
    client = UploadClient()
    client.handler.decision = "refuse"
    client.send(head() + BODY + request() + head() + BODY)
    assert client.statuses == [503]
    assert client.handler.requests == []
    assert len(client.handler.heads) == 1
    assert client.transport.closed


@on_loop
async def test_rest_of_refused_body_is_read_for_at_most_a_megabyte():
    client = UploadClient()
    client.handler.decision = "refuse"
    client.send(head(9_000_000))
    for _ in range(3):
        client.send(b"x" * 300_000)
    assert client.transport.reading
    client.send(b"x" * 300_000)
    assert not client.transport.reading
    await asyncio.sleep(1.1)
    assert client.transport.closed
    assert client.events["upload.drain-cut"] == 1


@on_loop
async def test_connection_stays_open_where_the_rest_of_a_body_is_read_no_further():
    """Guards against a reset that takes the response from a client that is sending."""
    client = UploadClient()
    client.handler.decision = "refuse"
    client.send(head(9_000_000) + b"x" * 1_000_001)
    assert client.statuses == [503]
    assert not client.transport.closed


@on_loop
async def test_rest_of_refused_body_is_read_for_at_most_a_second():
    client = UploadClient()
    client.handler.decision = "refuse"
    client.send(head())
    await asyncio.sleep(0.8)
    assert not client.transport.closed
    await asyncio.sleep(0.3)
    assert client.transport.closed


@on_loop
async def test_continue_is_sent_only_when_the_body_may_be_read():
    client = UploadClient()
    client.handler.decision = "wait"
    client.send(head(more="Expect: 100-continue\r\n"))
    assert client.transport.written == b""
    client.handler.accept(client.handler.heads[0])
    assert client.statuses == [100]
    client.send(BODY)
    client.handler.complete[0].respond(200)
    assert client.statuses == [100, 200]


@on_loop
async def test_refused_upload_gets_no_continue():
    client = UploadClient()
    client.handler.decision = "refuse"
    client.send(head(more="Expect: 100-continue\r\n"))
    assert client.statuses == [503]


@on_loop
async def test_continue_waits_for_earlier_responses():
    """Guards against a 100 that the client takes for an earlier request's."""
    client = UploadClient()
    client.send(request() + head(more="Expect: 100-continue\r\n"))
    assert client.transport.written == b""
    client.handler.requests[0].respond(200)
    assert client.statuses == [200, 100]


@on_loop
async def test_client_of_http_1_0_gets_no_continue():
    client = UploadClient()
    client.send(head(more="Expect: 100-continue\r\n", version="1.0"))
    assert client.transport.written == b""


@on_loop
async def test_trickling_body_gets_408_and_waiting_one_503():
    client = UploadClient(capacity=60_000)
    client.handler.timeout = 0.2
    client.send(head() + b"x")
    client.handler.timeout = 0.05
    waiting = UploadClient(server=client.server)
    waiting.send(head())
    await asyncio.sleep(0.1)
    assert (client.statuses, waiting.statuses) == ([], [503])
    await asyncio.sleep(0.2)
    assert client.statuses == [408]
    assert client.budget.held == 0
    assert client.handler.complete == []


@on_loop
async def test_truncated_body_is_never_complete():
    client = UploadClient()
    client.send(head() + BODY[:-1])
    client.connection.eof_received()
    client.connection.connection_lost(None)
    assert client.handler.complete == []
    assert client.statuses == [400]
    reset = UploadClient()
    reset.send(head() + BODY[:-1])
    reset.connection.connection_lost(ConnectionResetError())
    assert reset.handler.complete == []
    assert reset.events["upload.disconnected"] == 1
    assert (client.budget.held, reset.budget.held) == (0, 0)


@on_loop
async def test_body_longer_than_declared_is_refused():
    """Guards against running a request whose framing is broken."""
    client = UploadClient()
    client.send(head() + BODY + b"xx")
    assert client.handler.complete == []
    assert client.statuses == [400]
    assert b"Connection: close" in client.transport.written


@on_loop
async def test_malformed_request_after_an_upload_does_not_refuse_it():
    client = UploadClient()
    client.send(head() + BODY + b"GET / HTTP/1.1\r\n\r\n")
    client.handler.complete[0].respond(200)
    assert client.statuses == [200, 400]


@on_loop
async def test_oversized_head_after_an_upload_does_not_refuse_it():
    client = UploadClient()
    client.send(head() + BODY + b"GET / HTTP/1.1\r\nHost: h\r\nX: ")
    client.send(b"a" * 17_000)
    client.handler.complete[0].respond(200)
    assert client.statuses == [200, 431]


@pytest.mark.parametrize("chunk", [b"zz\r\n", b"3\r\nabcd\r\n", b"-1\r\n"])
def test_malformed_chunk_is_refused_and_the_connection_closed(chunk):
    async def run() -> None:
        client = UploadClient()
        client.send(head(None) + b"1\r\nx\r\n" + chunk)
        assert client.handler.complete == []
        assert client.statuses == [400]
        client.send(b"x" * 2_000_000)
        assert client.transport.closed

    asyncio.run(run())


@on_loop
async def test_chunked_body_over_the_limit_gets_refused():
    client = UploadClient()
    client.server.limits = RequestLimits(max_body_bytes=50_000)
    client.send(head(None))
    client.send(b"ffff\r\n" + b"x" * 0xFFFF)
    assert client.handler.refused == [Reason.TOO_LARGE]
    assert client.budget.held == 0


@on_loop
async def test_chunked_body_over_what_the_node_can_hold_gets_refused():
    client = UploadClient(capacity=100_000)
    client.send(head(None))
    client.send(b"ffff\r\n" + b"x" * 0xFFFF)
    assert client.handler.refused == [Reason.NO_BODY_ROOM]
    assert client.budget.held == 0


@on_loop
async def test_pipelined_requests_around_an_upload_keep_their_order():
    client = UploadClient()
    client.send(request(request_id="a") + head() + BODY + request(request_id="b"))
    first, last = client.handler.requests
    last.respond(200, body=b"last")
    client.handler.complete[0].respond(200, body=b"upload")
    first.respond(200, body=b"first")
    written = client.transport.written
    places = [written.index(text) for text in (b"first", b"upload", b"last")]
    assert places == sorted(places)
    assert not client.transport.closed


@on_loop
async def test_refusal_behind_a_pending_response_waits_for_its_turn():
    """The rest of the body is read only once the refusal has been written."""
    client = UploadClient()
    client.handler.decision = "refuse"
    client.send(request() + head() + BODY[:100])
    assert client.transport.written == b""
    assert not client.transport.reading
    client.handler.requests[0].respond(200)
    assert client.statuses == [200, 503]
    assert client.transport.reading
    client.send(BODY[100:])
    assert client.transport.closed


@on_loop
async def test_refusal_after_the_whole_body_keeps_the_connection():
    """Guards against losing a pipelined request that was handled already."""
    client = UploadClient()
    client.handler.decision = "wait"
    client.send(head() + BODY + request())
    client.handler.heads[0].respond(503)
    client.handler.requests[0].respond(200)
    assert client.statuses == [503, 200]
    assert not client.transport.closed


@on_loop
async def test_draining_server_reads_an_accepted_body_to_its_end():
    client = UploadClient()
    client.send(request() + head() + BODY[:100])
    client.server.leave()
    client.handler.requests[0].respond(200)
    assert not client.transport.closed
    client.send(BODY[100:] + request(request_id="dropped"))
    client.handler.complete[0].respond(200)
    assert client.statuses == [200, 200]
    assert len(client.handler.requests) == 1
    assert client.transport.closed


@on_loop
async def test_disconnect_during_the_body_is_reported_once():
    client = UploadClient()
    client.send(head() + BODY[:100])
    disconnects = []
    client.handler.heads[0].on_disconnect = lambda: disconnects.append(True)
    client.connection.connection_lost(None)
    assert disconnects == [True]
    assert client.budget.held == 0


@given(
    st.lists(st.integers(1, 9_000), max_size=40),
    st.lists(st.sampled_from(("length", "chunked", "small")), min_size=1, max_size=4),
)
def test_uploads_are_parsed_the_same_however_the_stream_is_split(cuts, kinds):
    async def run() -> None:
        client = UploadClient(capacity=8 << 20)
        parts = {
            "length": head() + BODY,
            "chunked": head(None) + chunked(BODY),
            "small": request(),
        }
        stream = b"".join(parts[kind] for kind in kinds)
        for cut in cuts:
            client.send(stream[:cut])
            stream = stream[cut:]
        client.send(stream)
        for exchange in client.handler.complete + client.handler.requests:
            exchange.respond(200)
        assert client.statuses == [200] * len(kinds)
        assert all(e.body == BODY for e in client.handler.complete)
        assert client.budget.held == 0

    asyncio.run(run())


@on_loop
async def test_upload_is_not_refused_for_want_of_room_for_small_requests():
    """Guards against a proper upload that a crowd of stalled requests ends with 400."""
    first = UploadClient()
    first.server.requests = RequestBudget(10_000)
    client = UploadClient(server=first.server)
    client.send(head() + BODY[:10_000])
    first.clock.advance(1.0)
    crowd = [UploadClient(server=client.server) for _ in range(8)]
    for other in crowd:
        other.send(b"GET /a/ HTTP/1.1\r\n" + b"X: yyyy\r\n" * 200)
    client.send(BODY[10_000:])
    assert len(client.handler.complete) == 1
    assert client.statuses == []
    assert [503] in [other.statuses for other in crowd]
