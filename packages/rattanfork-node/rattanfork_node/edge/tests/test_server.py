"""Tests of the HTTP server of the call path, without sockets."""

import asyncio
from random import Random

import pytest
from aiohttp.test_utils import make_mocked_request
from rattanfork_core.clock import ManualClock
from rattanfork_core.settings import LimitSettings
from rattanfork_node.edge.server import CallServer
from rattanfork_node.telemetry import Counters


@pytest.mark.parametrize("count", ["%C2%B2", "0", "101", "9" * 5000, "1_0", ""])
def test_malformed_number_of_keys_is_a_bad_request(count):
    """Guards against a query that is answered as a failure of the node."""

    async def run() -> int:
        server = CallServer(
            ManualClock(), Random(1), None, LimitSettings(), Counters(), None
        )
        path = f"/rattanfork/keys?service=claims&count={count}"
        response = await server._handle(make_mocked_request("POST", path))
        return response.status

    assert asyncio.run(run()) == 400
