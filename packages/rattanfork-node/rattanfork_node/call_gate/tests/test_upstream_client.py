"""Tests of the client of an upstream on the call path, on loopback."""

import asyncio
from functools import wraps

import pytest
from rattanfork_core.clock import MonotonicClock
from rattanfork_node.call_gate import (
    ResponseTooLargeError,
    UpstreamClient,
    UpstreamConnectError,
    UpstreamShedError,
)
from rattanfork_node.http1.tests.breaking_server import BreakingServer
from rattanfork_node.http1.tests.broken_responses import RESPONSES, BreakableResponse

_ID_LINE = b"Rattanfork-Request-Id: %b\r\n"
_SHED = b"HTTP/1.1 503 Busy\r\nRattanfork-Not-Run: 1\r\nContent-Length: 0\r\n"
_MAX_BODY_BYTES = 100_000


def _rename(data: bytes) -> bytes:
    """Replace the names of headers by those of the call path."""
    data = data.replace(b"Id: ", b"Rattanfork-Request-Id: ")
    return data.replace(b"Not-Run: ", b"Rattanfork-Not-Run: ")


#: Responses that an upstream breaks off.
BROKEN_RESPONSES = {
    name: BreakableResponse(
        _rename(response.head), response.body, is_until_close=response.is_until_close
    )
    for name, response in RESPONSES.items()
    if not response.is_for_head
}


def with_upstream(test):
    """Run a test with an upstream on loopback and the client that calls it."""

    @wraps(test)
    def run(*args, **kwargs):
        async def inner():
            upstream = Upstream()
            server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            url = f"http://{host}:{port}"
            client = UpstreamClient(MonotonicClock(), url, 4, _MAX_BODY_BYTES)
            try:
                await test(upstream, client, *args, **kwargs)
            finally:
                await client.close()
                server.close()

        asyncio.run(inner())

    del run.__wrapped__
    return run


class Upstream:
    """Runs all requests; what it sends before and after a response is set by a test."""

    def __init__(self) -> None:
        self.echoes_id = True
        self.sheds = False
        self.body = b"ok"
        #: Sent in place of the next response, and 2 ms after a response.
        self.before = b""
        self.after = b""
        self.runs: list[bytes] = []

    async def serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write(self.before)
                block = b""
                if self.echoes_id:
                    request_id = head.partition(b"Request-Id: ")[2].partition(b"\r")[0]
                    block = _ID_LINE % request_id
                if self.sheds:
                    writer.write(_SHED + block + b"\r\n")
                else:
                    self.runs.append(head.split()[1])
                    line = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n"
                    head = line % len(self.body) + block + b"\r\n"
                    writer.write(head + self.body)
                    if self.after:
                        await asyncio.sleep(0.002)
                        writer.write(self.after)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def post(client: UpstreamClient, request_id: str):
    headers = [("Rattanfork-Request-Id", request_id)]
    return await client.run("POST", f"/{request_id}", headers, b"")


@with_upstream
async def test_copy_of_a_rejection_is_not_taken_for_the_next_response(upstream, client):
    """Guards against a request that ran and is reported as shed.

    The upstream sends the rejection of another request in place of its response.
    """
    await post(client, "r1")
    upstream.before = _SHED + _ID_LINE % b"r0" + b"\r\n"
    assert (await post(client, "r2")).status == 200
    upstream.before = _SHED + b"\r\n"
    assert (await post(client, "r3")).status == 200


@with_upstream
async def test_rejection_without_id_is_no_proof_on_a_used_connection(upstream, client):
    """Guards against the same where the upstream echoes no IDs."""
    upstream.echoes_id = False
    await post(client, "r1")
    upstream.before = _SHED + b"\r\n"
    with pytest.raises(ConnectionError):
        await post(client, "r2")
    assert upstream.runs == [b"/r1", b"/r2"]


@with_upstream
async def test_rejection_with_the_id_is_proof_on_a_used_connection(upstream, client):
    await post(client, "r1")
    upstream.sheds = True
    with pytest.raises(UpstreamShedError):
        await post(client, "r2")


@with_upstream
async def test_rejection_without_id_is_proof_on_a_new_connection(upstream, client):
    upstream.echoes_id = False
    upstream.sheds = True
    with pytest.raises(UpstreamShedError):
        await post(client, "r1")


@with_upstream
async def test_bytes_after_a_response_close_its_connection(upstream, client):
    """Guards against bytes of an idle connection in place of the next response."""
    upstream.echoes_id = False
    upstream.after = _SHED + b"\r\n"
    for request_id in ("r1", "r2", "r3"):
        assert (await post(client, request_id)).status == 200
        await asyncio.sleep(0.02)


@with_upstream
async def test_response_over_the_limit_is_given_up(upstream, client):
    upstream.body = b"x" * (_MAX_BODY_BYTES + 1)
    with pytest.raises(ResponseTooLargeError):
        await post(client, "r1")
    upstream.body = b"x" * _MAX_BODY_BYTES
    assert len((await post(client, "r2")).body) == _MAX_BODY_BYTES


def test_refused_connection_is_no_run():
    async def run() -> None:
        client = UpstreamClient(MonotonicClock(), "http://127.0.0.1:1", 4, 100)
        with pytest.raises(UpstreamConnectError):
            await post(client, "r1")
        await client.close()

    asyncio.run(run())


@pytest.mark.parametrize("name", BROKEN_RESPONSES)
def test_response_that_is_broken_off_is_neither_a_response_nor_a_proof(name):
    """Guards against a broken response that callers receive as a whole one.

    Callers may send a request again if it is certain that it has not run.
    """
    response = BROKEN_RESPONSES[name]

    async def run() -> None:
        server = BreakingServer()
        await server.start()
        host, port = server.address
        client = UpstreamClient(MonotonicClock(), f"http://{host}:{port}", 4, 1000)
        for number, size in enumerate(server.breaks(response), 1):
            with pytest.raises(ConnectionError) as raised:
                await post(client, "r1")
            assert not isinstance(raised.value, UpstreamConnectError), size
            assert server.requests == number
        await client.close()
        server.stop()

    asyncio.run(run())
