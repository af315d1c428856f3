"""Real processes: killed, frozen, cut off from the platform, drained."""

import asyncio
import signal

import aiohttp
from rattanfork_testkit import Cluster, ServiceSpec
from rattanfork_testkit.scenario import ask, play, posted

CLAIMS = ServiceSpec(2, 20, 100, 0.02)
SLOW = ServiceSpec(2, 20, 100, 0.5)


async def start(cluster: Cluster, spec: ServiceSpec = CLAIMS) -> None:
    cluster.add_instance("claims", spec, "dc1", 1)
    cluster.add_instance("claims", spec, "dc2", 2)
    cluster.add_instance("portal", CLAIMS, "dc1", 1)
    await cluster.wait_ready()


async def get_key(cluster: Cluster, instance: str = "") -> str:
    """Return a key, for one instance if named."""
    for _ in range(50):
        edge = cluster.nodes[-1].edge
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"{edge}/rattanfork/keys?service=claims") as response,
        ):
            [key] = (await response.json())["keys"]
        if not instance or _names(key, instance):
            return key
    raise AssertionError("no key for that instance")


def _names(key: str, instance: str) -> bool:
    from base64 import urlsafe_b64decode

    raw = urlsafe_b64decode(key + "=" * (-len(key) % 4))
    return instance.encode() in raw


def test_a_repeated_key_runs_once_and_gets_the_first_answer():
    # A clerk's connection breaks after the claim was filed, and the claim is
    # sent again, at once and through every other node.
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        headers = {"Idempotency-Key": await get_key(cluster)}
        tries = [
            ask("POST", f"{n.edge}/claims/file", headers=headers, data="claim 1")
            for n in cluster.nodes * 4
        ]
        answers = await asyncio.gather(*tries)
        assert {outcome for _, outcome, _ in answers} == {"answered"}
        assert len({body for _, _, body in answers}) == 1
        assert await posted(cluster) == {"claim 1": 1}

    play(scenario)


def test_a_seed_that_starts_last_is_joined_all_the_same():
    # Nobody can reach the seed's upstream: the others found each other before
    # the seed listened, and it has no seed of its own.  They must ask it again.
    async def scenario(cluster: Cluster) -> None:
        seed = cluster.add_instance("claims", CLAIMS, "dc1", 1)
        seed.process.kill()
        seed.process.wait()
        cluster.add_instance("claims", CLAIMS, "dc2", 2)
        cluster.add_instance("portal", CLAIMS, "dc1", 1)
        await cluster.wait_ready()
        cluster.start_node(seed)
        await cluster.wait_ready()

    play(scenario)


def test_a_key_is_refused_to_another_caller():
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        edge = cluster.nodes[0].edge
        headers = {"Idempotency-Key": await get_key(cluster)}
        mine = {**headers, "Rattanfork-Caller": "clerk"}
        theirs = {**headers, "Rattanfork-Caller": "other"}
        await ask("POST", f"{edge}/claims/file", headers=mine, data="c")
        status, outcome, _ = await ask(
            "POST", f"{edge}/claims/file", headers=theirs, data="c"
        )
        assert (status, outcome) == (409, "not-run")

    play(scenario)


def test_a_request_id_of_another_caller_is_refused():
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        url = f"{cluster.nodes[0].edge}/claims/view"
        answers = [
            await ask(
                "GET",
                url,
                headers={"Rattanfork-Request-Id": "r1", "Rattanfork-Caller": caller},
            )
            for caller in ("ann", "ann", "bob")
        ]
        assert [status for status, _, _ in answers] == [200, 200, 400]

    play(scenario)


def test_a_caller_that_leaves_stops_the_work_below():
    # The clerk hung up: a search that nobody waits for must not hold a slot.
    async def scenario(cluster: Cluster) -> None:
        await start(cluster, SLOW)
        url = f"{cluster.nodes[2].edge}/claims/view"
        task = asyncio.ensure_future(ask("GET", url))
        while not sum([await _counted(cluster, n, "arrived") for n in (0, 1)]):
            await asyncio.sleep(0.02)
        task.cancel()
        while not sum([await _counted(cluster, n, "abandoned") for n in (0, 1)]):
            await asyncio.sleep(0.02)
        assert sum([await _counted(cluster, n, "completed") for n in (0, 1)]) == 0

    play(scenario)


async def _counted(cluster: Cluster, number: int, name: str) -> int:
    answer = await cluster.get(f"{cluster.nodes[number].upstream_url}/-/ledger")
    return answer["counts"][name]


def test_a_guard_killed_in_the_run_leaves_it_unknown_and_never_runs_it_again():
    # The caller sees 502 "unknown", and again when it repeats the key: the
    # guard that alone may run it is gone, so nobody can run it twice.
    async def scenario(cluster: Cluster) -> None:
        await start(cluster, SLOW)
        portal, victim = cluster.nodes[2], cluster.nodes[0]
        headers = {"Idempotency-Key": await get_key(cluster, "claims-1")}
        url = f"{portal.edge}/claims/file"
        first = asyncio.ensure_future(ask("POST", url, headers=headers, data="c"))
        while not (await posted(cluster))["c"]:
            await asyncio.sleep(0.02)
        victim.process.kill()
        _, outcome, _ = await first
        assert outcome == "unknown"
        cluster.start_node(victim)
        await asyncio.sleep(1.0)
        _, again, _ = await ask("POST", url, headers=headers, data="c")
        assert again == "unknown"
        assert await posted(cluster) == {"c": 1}

    play(scenario)


def test_a_posting_at_a_frozen_guard_is_settled_and_does_not_run_when_it_wakes():
    # The guard is stopped, a posting is sent to it, and its caller is told
    # something final.  Then it wakes, with the posting in its socket.
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        portal, victim = cluster.nodes[2], cluster.nodes[0]
        await ask("POST", f"{portal.edge}/claims/file", data="warm up 1")
        key = await get_key(cluster, "claims-1")
        victim.process.send_signal(signal.SIGSTOP)
        headers = {"Idempotency-Key": key, "Rattanfork-Timeout-Ms": "1500"}
        _, outcome, _ = await ask(
            "POST", f"{portal.edge}/claims/file", headers=headers, data="late"
        )
        assert outcome == "unknown"
        victim.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(1.0)
        runs = await posted(cluster)
        assert runs["late"] <= 1
        _, again, _ = await ask(
            "POST", f"{portal.edge}/claims/file", headers=headers, data="late"
        )
        assert again != "not-run" or runs["late"] == 0
        assert (await posted(cluster))["late"] <= 1

    play(scenario)


def test_reads_pass_a_frozen_instance_by():
    # Connections to it stay open and take bytes, and no answer comes.
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        portal = cluster.nodes[2]
        for _ in range(10):
            await ask("GET", f"{portal.edge}/claims/view")
        cluster.nodes[0].process.send_signal(signal.SIGSTOP)
        # Longer than any machine needs: the frozen instance never answers, so
        # an answer shows that it was passed by, however slow the machine is.
        patient = {"Rattanfork-Timeout-Ms": "20000"}
        answers = await asyncio.gather(
            *(
                ask("GET", f"{portal.edge}/claims/view", headers=patient)
                for _ in range(8)
            )
        )
        cluster.nodes[0].process.send_signal(signal.SIGCONT)
        assert {status for status, _, _ in answers} == {200}
        status = await cluster.get(f"{portal.admin}/status")
        assert status["state"]["peers.silent"] >= 1

    play(scenario)


def test_draining_cuts_nothing_off_and_takes_nothing_new():
    async def scenario(cluster: Cluster) -> None:
        await start(cluster, SLOW)
        portal, leaver = cluster.nodes[2], cluster.nodes[0]
        url = f"{portal.edge}/claims/file"
        before = [
            asyncio.ensure_future(ask("POST", url, data=f"before {i}"))
            for i in range(12)
        ]
        await asyncio.sleep(0.2)
        leaver.process.terminate()
        await asyncio.sleep(0.1)
        after = [
            asyncio.ensure_future(ask("POST", url, data=f"after {i}"))
            for i in range(12)
        ]
        answers = await asyncio.gather(*before, *after)
        assert {status for status, _, _ in answers} == {200}
        assert await asyncio.to_thread(leaver.process.wait, 10) == 0
        counts = await posted(cluster)
        assert set(counts.values()) == {1}
        ledger = (await cluster.get(f"{leaver.upstream_url}/-/ledger"))["ledger"]
        assert not any(e["body"].startswith("after") for e in ledger)

    play(scenario)


def test_postings_go_on_while_the_platform_is_down():
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        await cluster.control(cluster.platform_url, mode="down")
        edge = cluster.nodes[2].edge
        for i in range(5):
            headers = {"Idempotency-Key": await get_key(cluster)}
            status, _, _ = await ask(
                "POST", f"{edge}/claims/file", headers=headers, data=f"c{i}"
            )
            assert status == 200
        own = {"Idempotency-Key": "of my own making"}
        _, outcome, text = await ask(
            "POST", f"{edge}/claims/file", headers=own, data="own"
        )
        assert (outcome, "store-down" in text) == ("unknown", True)
        assert (await posted(cluster))["own"] == 0

    play(scenario)


def test_a_callers_own_key_is_bound_once_though_the_answer_is_lost():
    # The table takes the write and its answer is lost; the caller asks again
    # through another node.
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        headers = {"Idempotency-Key": "my key"}
        await cluster.control(cluster.platform_url, mode="lose")
        first = await ask(
            "POST", f"{cluster.nodes[0].edge}/claims/file", headers=headers, data="c"
        )
        assert first[1] == "unknown"
        await cluster.control(cluster.platform_url, mode="up")
        for node in cluster.nodes:
            status, _, _ = await ask(
                "POST", f"{node.edge}/claims/file", headers=headers, data="c"
            )
            assert status == 200
        assert await posted(cluster) == {"c": 1}

    play(scenario)


def test_a_fresh_node_with_the_table_down_waits_for_two_data_centres():
    # A replaced instance must not serve by rules it only believes to be in
    # force; with the table up before, peers in two data centres know them.
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        rules = cluster.folder / "r.yaml"
        rules.write_text("rules: [{name: a, then: {importance: high}}]")
        await cluster.run_cli(
            "rules", "apply", str(rules), "--platform", cluster.platform_url
        )
        await _until_revision(cluster, 1)
        await cluster.control(cluster.platform_url, mode="down")
        cluster.add_instance("claims", CLAIMS, "dc1", 3)
        await cluster.wait_ready()
        status = await cluster.get(f"{cluster.nodes[-1].admin}/status")
        assert status["revision"] == 1

    play(scenario)


async def _until_revision(cluster: Cluster, revision: int) -> None:
    async with asyncio.timeout(60):
        while True:
            answer = await cluster.get(f"{cluster.nodes[0].admin}/revisions")
            if {n["revision"] for n in answer["nodes"]} == {revision}:
                return
            await asyncio.sleep(0.1)


def test_two_operators_at_once_get_one_winner_and_one_conflict():
    async def scenario(cluster: Cluster) -> None:
        await start(cluster)
        texts = []
        for name in ("a", "b"):
            path = cluster.folder / f"{name}.yaml"
            path.write_text(f"rules: [{{name: {name}, then: {{importance: high}}}}]")
            texts.append(
                cluster.run_cli(
                    "rules", "apply", str(path), "--expected", "0",
                    "--platform", cluster.platform_url,
                )
            )  # fmt: skip
        answers = await asyncio.gather(*texts, return_exceptions=True)
        failed = [a for a in answers if isinstance(a, RuntimeError)]
        assert len(failed) == 1
        assert "conflict: revision 1" in str(failed[0])
        await _until_revision(cluster, 1)

    play(scenario)
