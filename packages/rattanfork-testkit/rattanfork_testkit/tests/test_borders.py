"""Malformed input on each port is rejected and counted; other requests succeed."""

import asyncio

import pytest
from rattanfork_testkit import Cluster, ServiceSpec
from rattanfork_testkit.scenario import count_posts, run_scenario, send_request

CLAIMS = ServiceSpec(1, 20, 100, 0.02)


@pytest.mark.parametrize(
    "data",
    [
        b"\x00" * 64,
        b"\xc1",
        b"\x94\x01\x01\xa1x\xa1y",
        b"\xdd\xff\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n" + b"x" * 8000,
    ],
)
def test_malformed_peer_frame_closes_connection_and_is_counted(data):
    async def scenario(cluster: Cluster) -> None:
        cluster.add_instance("claims", CLAIMS, "dc1", 1)
        await cluster.wait_ready()
        node = cluster.nodes[0]
        reader, writer = await asyncio.open_connection("127.0.0.1", node.peer_port)
        writer.write(data)
        async with asyncio.timeout(5):
            while await reader.read(4096):
                pass
        writer.close()
        status = await cluster.get(f"{node.admin}/status")
        assert status["counters"]["events"]["peer.bad-frame"] == 1
        assert (await send_request("GET", f"{node.edge}/claims/view"))[0] == 200

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ({"Rattanfork-Timeout-Ms": "-5"}, "Rattanfork-Timeout-Ms"),
        ({"Rattanfork-Timeout-Ms": "soon"}, "Rattanfork-Timeout-Ms"),
        ({"Rattanfork-Importance": "vital"}, "unknown importance"),
        ({"Rattanfork-Request-Id": "x" * 200}, "at most 128"),
        ({"Rattanfork-Attempt": "0"}, "Rattanfork-Attempt"),
    ],
)
def test_invalid_header_is_rejected_with_its_name(headers, expected):
    async def scenario(cluster: Cluster) -> None:
        cluster.add_instance("claims", CLAIMS, "dc1", 1)
        await cluster.wait_ready()
        edge = cluster.nodes[0].edge
        status, outcome, text = await send_request(
            "GET", f"{edge}/claims/view", headers=headers
        )
        assert (status, outcome) == (400, "not-run")
        assert expected in text

    run_scenario(scenario)


@pytest.mark.parametrize(
    "data",
    [
        b"BROKEN\r\n\r\n",
        b"GET /claims/view HTTP/1.1\r\nX: " + b"x" * 40_000 + b"\r\n\r\n",
        b"POST /claims/file HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"POST /claims/file HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    ],
    ids=["request line", "header", "negative length", "length"],
)
def test_malformed_http_is_rejected_and_counted(data):
    async def scenario(cluster: Cluster) -> None:
        cluster.add_instance("claims", CLAIMS, "dc1", 1)
        await cluster.wait_ready()
        node = cluster.nodes[0]
        reader, writer = await asyncio.open_connection("127.0.0.1", node.edge_port)
        writer.write(data)
        async with asyncio.timeout(5):
            line = await reader.readline()
        writer.close()
        assert line.split()[1] in (b"400", b"413")
        status = await cluster.get(f"{node.admin}/status")
        events = status["counters"]["events"]
        assert events.get("bad.http", 0) + events.get("edge.too-large", 0) >= 1
        assert (await send_request("GET", f"{node.edge}/claims/view"))[0] == 200
        assert await count_posts(cluster) == {}

    run_scenario(scenario)
