"""Bad input on every port: a clear error, counted, and nobody else harmed."""

import asyncio

import pytest
from rattanfork_testkit import Cluster, ServiceSpec
from rattanfork_testkit.scenario import ask, play, posted

CLAIMS = ServiceSpec(1, 20, 100, 0.02)


@pytest.mark.parametrize(
    "sent",
    [
        b"\x00" * 64,
        b"\xc1",
        b"\x94\x01\x01\xa1x\xa1y",
        b"\xdd\xff\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n" + b"x" * 8000,
    ],
)
def test_strangers_at_the_peer_port_are_dropped_and_harm_nobody(sent):
    async def scenario(cluster: Cluster) -> None:
        cluster.add_instance("claims", CLAIMS, "dc1", 1)
        await cluster.wait_ready()
        node = cluster.nodes[0]
        reader, writer = await asyncio.open_connection("127.0.0.1", node.peer_port)
        writer.write(sent)
        async with asyncio.timeout(5):
            while await reader.read(4096):
                pass
        writer.close()
        status = await cluster.get(f"{node.admin}/status")
        assert status["counters"]["events"]["peer.bad-frame"] == 1
        assert (await ask("GET", f"{node.edge}/claims/view"))[0] == 200

    play(scenario)


@pytest.mark.parametrize(
    ("headers", "says"),
    [
        ({"Rattanfork-Timeout-Ms": "-5"}, "Rattanfork-Timeout-Ms"),
        ({"Rattanfork-Timeout-Ms": "soon"}, "Rattanfork-Timeout-Ms"),
        ({"Rattanfork-Importance": "vital"}, "unknown importance"),
        ({"Rattanfork-Request-Id": "x" * 200}, "at most 128"),
        ({"Rattanfork-Attempt": "0"}, "Rattanfork-Attempt"),
    ],
)
def test_bad_headers_get_a_clear_error(headers, says):
    async def scenario(cluster: Cluster) -> None:
        cluster.add_instance("claims", CLAIMS, "dc1", 1)
        await cluster.wait_ready()
        edge = cluster.nodes[0].edge
        status, outcome, text = await ask("GET", f"{edge}/claims/view", headers=headers)
        assert (status, outcome) == (400, "not-run")
        assert says in text

    play(scenario)


@pytest.mark.parametrize(
    "sent",
    [
        b"BROKEN\r\n\r\n",
        b"GET /claims/view HTTP/1.1\r\nX: " + b"x" * 40_000 + b"\r\n\r\n",
        b"POST /claims/file HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"POST /claims/file HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
    ],
    ids=["request line", "header", "negative length", "length"],
)
def test_broken_http_is_answered_and_counted_and_harms_nobody(sent):
    async def scenario(cluster: Cluster) -> None:
        cluster.add_instance("claims", CLAIMS, "dc1", 1)
        await cluster.wait_ready()
        node = cluster.nodes[0]
        reader, writer = await asyncio.open_connection("127.0.0.1", node.edge_port)
        writer.write(sent)
        async with asyncio.timeout(5):
            line = await reader.readline()
        writer.close()
        assert line.split()[1] in (b"400", b"413")
        status = await cluster.get(f"{node.admin}/status")
        events = status["counters"]["events"]
        assert events.get("bad.http", 0) + events.get("edge.too-large", 0) >= 1
        assert (await ask("GET", f"{node.edge}/claims/view"))[0] == 200
        assert await posted(cluster) == {}

    play(scenario)
