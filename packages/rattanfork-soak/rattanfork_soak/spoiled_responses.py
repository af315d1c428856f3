"""Bytes that a worker in trouble sends beside its responses, or in their place."""

import asyncio
from random import Random

from rattanfork_adapter.tests.fakes import NOT_RUN, REQUEST_ID

#: Longest time from a response to a second one in seconds.
_MAX_SECOND_DELAY_S = 0.004
#: Share of responses that a second one follows.
_SECOND_SHARE = 0.5
_PIECE = b"x" * (64 << 10)
#: Bytes that may wait to be sent; the node reads slower than a worker can send.
_MAX_UNSENT_BYTES = 1 << 20
_SEND_INTERVAL_S = 0.002


def send_second_response(
    transport: asyncio.Transport, random: Random, request_id: str
) -> None:
    """Send a rejection after some responses, at once or milliseconds later.

    It has the ID of the response, that of another request, or none.
    """
    if random.random() >= _SECOND_SHARE:
        return
    head = f"HTTP/1.1 503 Busy\r\n{NOT_RUN}: 1\r\nContent-Length: 0\r\n"
    second_id = random.choice((request_id, f"{request_id}-other", ""))
    if second_id:
        head += f"{REQUEST_ID}: {second_id}\r\n"
    delay = random.choice((0.0, random.uniform(0.0, _MAX_SECOND_DELAY_S)))
    loop = asyncio.get_running_loop()
    loop.call_later(delay, _write, transport, f"{head}\r\n".encode())


async def send_without_end(
    transport: asyncio.Transport, random: Random, request_id: str
) -> None:
    """Send a head, or a body without a length, until the node closes the connection."""
    head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request_id}\r\n"
    _write(transport, (head + random.choice(("X: ", "\r\n"))).encode())
    while not transport.is_closing():
        if transport.get_write_buffer_size() < _MAX_UNSENT_BYTES:
            transport.write(_PIECE)
        await asyncio.sleep(_SEND_INTERVAL_S)


def _write(transport: asyncio.Transport, data: bytes) -> None:
    if not transport.is_closing():
        transport.write(data)
