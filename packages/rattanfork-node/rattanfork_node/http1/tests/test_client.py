"""Tests of the HTTP client for single requests."""

import asyncio

import pytest
from rattanfork_core.clock import MonotonicClock

from rattanfork_node.http1 import HttpClient
from rattanfork_node.http1.tests.fakes import FakeTransport
from rattanfork_node.http1.tests.test_pool import FakePool


class _ClosingPool(FakePool):
    """Pool whose connections are reset right after they were acquired."""

    def acquire(self, on_acquired, *arguments) -> None:
        connection = self.open_connection()
        connection.connection_made(_StrictTransport())
        on_acquired(connection)
        connection.abort()


class _StrictTransport(FakeTransport):
    """Transport that refuses writes once it is closed, as that of uvloop."""

    def write(self, data: bytes) -> None:
        if self.is_closing():
            raise RuntimeError("the handler is closed")
        super().write(data)


def test_connection_that_is_closed_before_it_is_used_raises_a_connection_error():
    """Guards against tasks that end for good when the store resets a connection.

    Callers of the store's client expect no ``RuntimeError``.
    """

    async def run() -> None:
        client = HttpClient(MonotonicClock(), "127.0.0.1", 1)
        client._pool = _ClosingPool()
        with pytest.raises(ConnectionError):
            await client.request(b"GET", b"/")

    asyncio.run(run())
