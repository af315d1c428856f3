"""Clusters of processes with kills, pauses, drains and loss of the platform."""

import asyncio
import signal

import aiohttp
from rattanfork_testkit import Cluster, ServiceSpec
from rattanfork_testkit.scenario import count_posts, run_scenario, send_request

CLAIMS = ServiceSpec(2, 20, 100, 0.02)
SLOW = ServiceSpec(2, 20, 100, 0.5)


async def start_cluster(cluster: Cluster, spec: ServiceSpec = CLAIMS) -> None:
    cluster.add_instance("claims", spec, "dc1", 1)
    cluster.add_instance("claims", spec, "dc2", 2)
    cluster.add_instance("portal", CLAIMS, "dc1", 1)
    await cluster.wait_ready()


async def request_key(cluster: Cluster, instance: str = "") -> str:
    """Request a key; if an instance is given, one that this instance may run."""
    for _ in range(50):
        edge = cluster.nodes[-1].edge
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"{edge}/rattanfork/keys?service=claims") as response,
        ):
            [key] = (await response.json())["keys"]
        if not instance or _is_key_of(key, instance):
            return key
    raise AssertionError("none of 50 keys was issued for the instance")


def _is_key_of(key: str, instance: str) -> bool:
    from base64 import urlsafe_b64decode

    raw = urlsafe_b64decode(key + "=" * (-len(key) % 4))
    return instance.encode() in raw


def test_repeated_key_runs_once_and_returns_first_response():
    # Copies of a POST with one key arrive concurrently through all nodes, as
    # when a client repeats the request after losing its connection.
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        headers = {"Idempotency-Key": await request_key(cluster)}
        requests = [
            send_request(
                "POST", f"{n.edge}/claims/file", headers=headers, data="claim 1"
            )
            for n in cluster.nodes * 4
        ]
        responses = await asyncio.gather(*requests)
        assert {outcome for _, outcome, _ in responses} == {"answered"}
        assert len({body for _, _, body in responses}) == 1
        assert await count_posts(cluster) == {"claim 1": 1}

    run_scenario(scenario)


def test_seed_that_starts_last_is_joined():
    # Guards against a partition between the seed and the rest: the others found
    # each other before the seed listened, and it has no seed of its own, so
    # they must contact it again.
    async def scenario(cluster: Cluster) -> None:
        seed = cluster.add_instance("claims", CLAIMS, "dc1", 1)
        seed.process.kill()
        seed.process.wait()
        cluster.add_instance("claims", CLAIMS, "dc2", 2)
        cluster.add_instance("portal", CLAIMS, "dc1", 1)
        await cluster.wait_ready()
        cluster.start_node(seed)
        await cluster.wait_ready()

    run_scenario(scenario)


def test_key_of_another_caller_is_refused():
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        edge = cluster.nodes[0].edge
        headers = {"Idempotency-Key": await request_key(cluster)}
        owner_headers = {**headers, "Rattanfork-Caller": "clerk"}
        other_headers = {**headers, "Rattanfork-Caller": "other"}
        await send_request(
            "POST", f"{edge}/claims/file", headers=owner_headers, data="c"
        )
        status, outcome, _ = await send_request(
            "POST", f"{edge}/claims/file", headers=other_headers, data="c"
        )
        assert (status, outcome) == (409, "not-run")

    run_scenario(scenario)


def test_request_id_of_another_caller_is_refused():
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        url = f"{cluster.nodes[0].edge}/claims/view"
        responses = [
            await send_request(
                "GET",
                url,
                headers={"Rattanfork-Request-Id": "r1", "Rattanfork-Caller": caller},
            )
            for caller in ("ann", "ann", "bob")
        ]
        assert [status for status, _, _ in responses] == [200, 200, 400]

    run_scenario(scenario)


def test_disconnect_of_caller_cancels_upstream_request():
    # A request whose caller has disconnected must not occupy a slot.
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster, SLOW)
        url = f"{cluster.nodes[2].edge}/claims/view"
        task = asyncio.ensure_future(send_request("GET", url))
        while not sum([await _read_count(cluster, n, "arrived") for n in (0, 1)]):
            await asyncio.sleep(0.02)
        task.cancel()
        while not sum([await _read_count(cluster, n, "abandoned") for n in (0, 1)]):
            await asyncio.sleep(0.02)
        assert sum([await _read_count(cluster, n, "completed") for n in (0, 1)]) == 0

    run_scenario(scenario)


async def _read_count(cluster: Cluster, number: int, name: str) -> int:
    answer = await cluster.get(f"{cluster.nodes[number].upstream_url}/-/ledger")
    return answer["counts"][name]


def test_kill_of_node_during_run_reports_unknown_and_prevents_rerun():
    # Only the killed incarnation of the node may run the key.  The caller gets
    # 502 "unknown", also when it repeats the key after the restart, and the
    # POST does not run a second time.
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster, SLOW)
        portal, target = cluster.nodes[2], cluster.nodes[0]
        headers = {"Idempotency-Key": await request_key(cluster, "claims-1")}
        url = f"{portal.edge}/claims/file"
        first = asyncio.ensure_future(
            send_request("POST", url, headers=headers, data="c")
        )
        while not (await count_posts(cluster))["c"]:
            await asyncio.sleep(0.02)
        target.process.kill()
        _, outcome, _ = await first
        assert outcome == "unknown"
        cluster.start_node(target)
        await asyncio.sleep(1.0)
        _, again, _ = await send_request("POST", url, headers=headers, data="c")
        assert again == "unknown"
        assert await count_posts(cluster) == {"c": 1}

    run_scenario(scenario)


def test_post_to_paused_node_gets_final_outcome_that_holds_after_resume():
    # The POST waits in the socket buffer of a node stopped by SIGSTOP while its
    # caller gets a final outcome.  After SIGCONT the node reads it, and must
    # neither run it twice nor contradict that outcome.
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        portal, target = cluster.nodes[2], cluster.nodes[0]
        await send_request("POST", f"{portal.edge}/claims/file", data="warm up 1")
        key = await request_key(cluster, "claims-1")
        target.process.send_signal(signal.SIGSTOP)
        headers = {"Idempotency-Key": key, "Rattanfork-Timeout-Ms": "1500"}
        _, outcome, _ = await send_request(
            "POST", f"{portal.edge}/claims/file", headers=headers, data="late"
        )
        assert outcome == "unknown"
        target.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(1.0)
        runs = await count_posts(cluster)
        assert runs["late"] <= 1
        _, again, _ = await send_request(
            "POST", f"{portal.edge}/claims/file", headers=headers, data="late"
        )
        assert again != "not-run" or runs["late"] == 0
        assert (await count_posts(cluster))["late"] <= 1

    run_scenario(scenario)


def test_reads_avoid_paused_instance():
    # Connections to a paused process stay open and accept data without a response.
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        portal = cluster.nodes[2]
        for _ in range(10):
            await send_request("GET", f"{portal.edge}/claims/view")
        cluster.nodes[0].process.send_signal(signal.SIGSTOP)
        # The paused instance never responds, so each response came from another
        # one.  The long time-out allows for a slow machine.
        long_timeout = {"Rattanfork-Timeout-Ms": "20000"}
        responses = await asyncio.gather(
            *(
                send_request("GET", f"{portal.edge}/claims/view", headers=long_timeout)
                for _ in range(8)
            )
        )
        cluster.nodes[0].process.send_signal(signal.SIGCONT)
        assert {status for status, _, _ in responses} == {200}
        status = await cluster.get(f"{portal.admin}/status")
        assert status["state"]["peers.silent"] >= 1

    run_scenario(scenario)


def test_draining_node_completes_accepted_requests_and_takes_no_new_ones():
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster, SLOW)
        portal, draining_node = cluster.nodes[2], cluster.nodes[0]
        url = f"{portal.edge}/claims/file"
        before = [
            asyncio.ensure_future(send_request("POST", url, data=f"before {i}"))
            for i in range(12)
        ]
        await asyncio.sleep(0.2)
        draining_node.process.terminate()
        await asyncio.sleep(0.1)
        after = [
            asyncio.ensure_future(send_request("POST", url, data=f"after {i}"))
            for i in range(12)
        ]
        responses = await asyncio.gather(*before, *after)
        assert {status for status, _, _ in responses} == {200}
        assert await asyncio.to_thread(draining_node.process.wait, 10) == 0
        counts = await count_posts(cluster)
        assert set(counts.values()) == {1}
        ledger = (await cluster.get(f"{draining_node.upstream_url}/-/ledger"))["ledger"]
        assert not any(e["body"].startswith("after") for e in ledger)

    run_scenario(scenario)


def test_posts_with_issued_keys_succeed_while_platform_is_down():
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        await cluster.control(cluster.platform_url, mode="down")
        edge = cluster.nodes[2].edge
        for i in range(5):
            headers = {"Idempotency-Key": await request_key(cluster)}
            status, _, _ = await send_request(
                "POST", f"{edge}/claims/file", headers=headers, data=f"c{i}"
            )
            assert status == 200
        own = {"Idempotency-Key": "of my own making"}
        _, outcome, text = await send_request(
            "POST", f"{edge}/claims/file", headers=own, data="own"
        )
        assert (outcome, "store-down" in text) == ("unknown", True)
        assert (await count_posts(cluster))["own"] == 0

    run_scenario(scenario)


def test_client_chosen_key_runs_once_after_lost_table_response():
    # The table applies the write that binds the key and its response is lost;
    # the caller repeats the request through each node.
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        headers = {"Idempotency-Key": "my key"}
        await cluster.control(cluster.platform_url, mode="lose")
        first = await send_request(
            "POST", f"{cluster.nodes[0].edge}/claims/file", headers=headers, data="c"
        )
        assert first[1] == "unknown"
        await cluster.control(cluster.platform_url, mode="up")
        for node in cluster.nodes:
            status, _, _ = await send_request(
                "POST", f"{node.edge}/claims/file", headers=headers, data="c"
            )
            assert status == 200
        assert await count_posts(cluster) == {"c": 1}

    run_scenario(scenario)


def test_new_node_without_table_gets_revision_from_peers():
    # A new node must not serve under outdated rules.  While the table is down it
    # takes the revision from peers, which learned it while the table was up.
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        rules = cluster.folder / "r.yaml"
        rules.write_text("rules: [{name: a, then: {importance: high}}]")
        await cluster.run_cli(
            "rules", "apply", str(rules), "--platform", cluster.platform_url
        )
        await _wait_for_revision(cluster, 1)
        await cluster.control(cluster.platform_url, mode="down")
        cluster.add_instance("claims", CLAIMS, "dc1", 3)
        await cluster.wait_ready()
        status = await cluster.get(f"{cluster.nodes[-1].admin}/status")
        assert status["revision"] == 1

    run_scenario(scenario)


async def _wait_for_revision(cluster: Cluster, revision: int) -> None:
    async with asyncio.timeout(60):
        while True:
            answer = await cluster.get(f"{cluster.nodes[0].admin}/revisions")
            if {n["revision"] for n in answer["nodes"]} == {revision}:
                return
            await asyncio.sleep(0.1)


def test_concurrent_rule_changes_give_one_success_and_one_conflict():
    async def scenario(cluster: Cluster) -> None:
        await start_cluster(cluster)
        changes = []
        for name in ("a", "b"):
            path = cluster.folder / f"{name}.yaml"
            path.write_text(f"rules: [{{name: {name}, then: {{importance: high}}}}]")
            changes.append(
                cluster.run_cli(
                    "rules", "apply", str(path), "--expected", "0",
                    "--platform", cluster.platform_url,
                )
            )  # fmt: skip
        responses = await asyncio.gather(*changes, return_exceptions=True)
        failed = [a for a in responses if isinstance(a, RuntimeError)]
        assert len(failed) == 1
        assert "conflict: revision 1" in str(failed[0])
        await _wait_for_revision(cluster, 1)

    run_scenario(scenario)
