"""HTTP/1.1 messages on asyncio streams."""

import asyncio
from typing import NamedTuple

REQUEST_ID = "x-rattanfork-request-id"
DEADLINE = "x-rattanfork-deadline-ms"
EXPECTED = "x-rattanfork-expect-instance"
INSTANCE = "x-rattanfork-instance-id"
NOT_RUN = "x-rattanfork-not-run"
STAMP = "x-rattanfork-server-stamp"
CALLER = "x-rattanfork-caller-service"
KEY = "x-rattanfork-key"
TENANT = "x-rattanfork-tenant"


class Message(NamedTuple):
    """A request (first, second: method, target) or a response (status, reason)."""

    first: str
    second: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first)


async def read_message(reader: asyncio.StreamReader, response: bool) -> Message | None:
    """Read a message with Content-Length or chunks; None at an orderly end before it.

    Raises
    ======

    ConnectionError, EOFError
        If the connection ends within the message.
    """
    try:
        line = await reader.readuntil(b"\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    words = line.decode("latin-1").rstrip("\r\n").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    if response:
        return Message(words[1], words[2] if len(words) > 2 else "", headers, body)
    return Message(words[0], words[1], headers, body)


def render_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def render_request(
    method: str, target: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 1.0,
) -> Message | None:
    """Send a request on a new connection; None if no response comes in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            head = {"Host": f"{address[0]}:{address[1]}", **(headers or {})}
            writer.write(render_request(method, target, head, body))
            return await read_message(reader, response=True)
    except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
