"""How memory, processor time and message sizes grow with load, for docs/CAPACITY.md.

Measures data structures of the core and of peer connections alone, without sockets,
at several sizes.  Memory and messages are in bytes, processor time is in microseconds
per operation unless a key says otherwise.  In the saved results a rumour is a gossip
update, a duty the check whether a member holds a role, a hint a known threshold.
"""

import argparse
import gc
import json
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from random import Random
from time import process_time

import uvloop
from rattanfork_core.admission import AdmissionController, AdmissionSettings, Waiter
from rattanfork_core.burn import BurnMeter
from rattanfork_core.clock import ManualClock, MonotonicClock
from rattanfork_core.gate_status import ThresholdCache
from rattanfork_core.idempotency import KeyRegistry, Ticket
from rattanfork_core.membership import (
    CachedVersions,
    Member,
    Membership,
    MemberStatus,
    Ping,
    decode_gossip,
    encode_gossip,
    holds_role,
)
from rattanfork_core.request import CallResult, Importance, Outcome
from rattanfork_core.routing import InstancePicker, InstanceState
from rattanfork_core.rules import RequestFacts, RulesDocument, RuleSet, load_rules
from rattanfork_node.peer import Call, PeerLink, Reply, decode_message, encode_message

RESULTS = Path(__file__).parent.parent / "docs" / "measurements" / "slopes.json"
SIZES = (100, 1000, 5000, 17_000)


def memory_of(make: Callable[[], object]) -> tuple[object, int]:
    """Return the object that ``make`` creates and the bytes that it holds."""
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return made, size


def microseconds(work: Callable[[], object], times: int) -> float:
    """Return the mean processor time of one call in microseconds."""
    began = process_time()
    for _ in range(times):
        work()
    return 1e6 * (process_time() - began) / times


def create_member(i: int) -> Member:
    """Return a member with names as long as in production."""
    return Member(
        f"service-{i % 1400:04d}-{i:05d}",
        f"{i:012x}",
        f"service-{i % 1400:04d}",
        f"region-{i % 4}-dc-{i % 15}",
        f"10.{i >> 16}.{(i >> 8) & 255}.{i & 255}",
        8101,
        8101,
        120,
    )


def members() -> list[dict]:
    """Measure the membership of one node at several fleet sizes."""
    rows = []
    for size in SIZES:
        clock = ManualClock()
        me = create_member(0)

        def make(size=size, clock=clock, me=me) -> Membership:
            view = Membership(clock, Random(1), me)
            view.merge(create_member(i) for i in range(1, size))
            return view

        view, held_bytes = memory_of(make)

        def tick(view=view, clock=clock) -> None:
            clock.advance(0.1)
            view.tick()

        def merge_update(view=view) -> None:
            known = view.members[create_member(7).name]
            view.merge([known.replace(incarnation=known.incarnation + 1)])

        names = list(view.members)
        full = encode_gossip(view.tick()[0].message, b"k")
        while view.pending_updates:
            view._next_updates()
        clock.advance(5)
        empty = encode_gossip(view.tick()[0].message, b"k")
        rows.append(
            {
                "members": size,
                "bytes": held_bytes,
                "tick_us": microseconds(tick, 300),
                "rumour_us": microseconds(merge_update, 2000),
                "duty_us": microseconds(
                    lambda names=names: holds_role(names[0], names, "rules", 2), 20
                ),
                "datagram_empty": len(empty),
                "datagram_six_rumours": len(full),
                "record_bytes": (len(full) - len(empty)) / 6,
            }
        )
    return rows


def suspects() -> list[dict]:
    """Measure a tick while half of all members are suspect or dead."""
    rows = []
    for size in SIZES:
        clock = ManualClock()
        view = Membership(clock, Random(1), create_member(0))
        view.merge(create_member(i) for i in range(1, size))
        view.merge(
            create_member(i).replace(status=MemberStatus.SUSPECT)
            for i in range(1, size, 2)
        )

        def tick(view=view, clock=clock) -> None:
            clock.advance(0.01)
            view.tick()

        rows.append({"members": size, "tick_us": microseconds(tick, 100)})
    return rows


def rules() -> list[dict]:
    """Measure matching, building and loading of rule sets of several sizes."""
    rows = []
    for size in (10, 200, 1000, 2000):
        document = RulesDocument.model_validate(
            {
                "rules": [
                    {
                        "name": f"r{i}",
                        "when": {
                            "service": f"s{i % 50}",
                            "operation": f"o{i % 7}",
                            "caller": f"c{i}",
                        },
                        "then": {"attempts": 1},
                    }
                    for i in range(size)
                ]
            }
        )
        ruleset, held_bytes = memory_of(lambda document=document: RuleSet(document))
        indexed = RequestFacts("s3", "o3", "nobody")
        text = document.model_dump_json()
        rows.append(
            {
                "rules": size,
                "bytes": held_bytes,
                "match_us": microseconds(
                    lambda r=ruleset, f=indexed: r.first_match(f), 5000
                ),
                "build_us": microseconds(lambda d=document: RuleSet(d), 3),
                "text_bytes": len(text),
                "load_ms": microseconds(lambda t=text: load_rules(t), 2) / 1000,
            }
        )
    worst = RulesDocument.model_validate(
        {
            "rules": [
                {
                    "name": f"r{i}",
                    "when": {"caller": f"c{i}-*"},
                    "then": {"attempts": 1},
                }
                for i in range(200)
            ]
        }
    )
    ruleset = RuleSet(worst)
    facts = RequestFacts("s", "o", "nobody")
    rows.append(
        {
            "rules": 200,
            "note": "none indexed, all with wildcards",
            "match_us": microseconds(lambda: ruleset.first_match(facts), 500),
        }
    )
    return rows


def keys() -> list[dict]:
    """Measure a key registry with several numbers of idempotency keys."""
    rows = []
    for size in (1000, 10_000, 50_000):
        clock = ManualClock()

        def make(size=size, clock=clock) -> KeyRegistry:
            registry = KeyRegistry(clock, "g", "b", epoch_keys=1_000_000)
            for i in range(size):
                ticket = Ticket("claims", "g", "b", 1, i)
                key = f"lqZjbGFpbXMaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa{i:08d}"
                verdict = registry.on_request(key, ticket, "clerk", i)
                registry.hand_over(verdict.record)
                registry.store_answer(verdict.record, CallResult(Outcome.ANSWERED))
            return registry

        began = process_time()
        make()
        took = process_time() - began
        _, held_bytes = memory_of(make)
        rows.append({"keys": size, "bytes": held_bytes, "us_each": 1e6 * took / size})
    return rows


def hot_path() -> dict:
    """Measure the operations on the path of one call."""
    clock = MonotonicClock()
    admission = AdmissionController(clock, AdmissionSettings(slots=120, warmup=0))
    count = 0

    def admit() -> None:
        nonlocal count
        count += 1
        now = clock.now()
        admission.offer(Waiter(count, 2.5, "get", now + 1, now))
        admission.finish(count)

    picker = InstancePicker("n", "dc1", clock, Random(1))
    picker.update(InstanceState(f"i{i}", "dc1", 120) for i in range(12))
    hints = ThresholdCache(clock)
    hints.update("s/o", "i1", 2.0)
    burn = BurnMeter(clock)
    call = Call(
        1, "b", "get", "GET", "/get?x=1", [["Accept", "*/*"]], b"", "f" * 32,
        "clerk", 2, 2.5, 900, 1, "", True,
    )  # fmt: skip
    reply = Reply(
        1, 0, 0, 200, [["Content-Type", "text/plain"]], b"x" * 500, 1, False, 0, 5.0, 1
    )
    import msgpack

    packed = msgpack.unpackb(encode_message(call))
    gossip = Ping(
        1,
        create_member(1),
        "x@y",
        CachedVersions(3),
        tuple(create_member(i) for i in range(6)),
    )
    datagram = encode_gossip(gossip, b"k")
    none: frozenset[str] = frozenset()
    return {
        "admit_and_finish_us": microseconds(admit, 20_000),
        "admission_tick_us": microseconds(admission.tick, 1000),
        "pick_us": microseconds(lambda: picker.pick(none), 20_000),
        "hint_us": microseconds(lambda: hints.threshold("s/o", "i1"), 20_000),
        "burn_us": microseconds(
            lambda: burn.add("s", Importance.HIGH, "r", True, 0.01), 20_000
        ),
        "encode_call_us": microseconds(lambda: encode_message(call), 20_000),
        "decode_call_us": microseconds(lambda: decode_message(packed), 20_000),
        "gossip_encode_us": microseconds(lambda: encode_gossip(gossip, b"k"), 3000),
        "gossip_decode_us": microseconds(lambda: decode_gossip(datagram, b"k"), 3000),
        "call_bytes": len(encode_message(call)),
        "reply_bytes_500_body": len(encode_message(reply)),
    }


async def peers() -> list[dict]:
    """Measure memory and heartbeat of peer links that have no sockets."""
    rows = []
    clock = MonotonicClock()
    for size in (10, 100, 500):

        def make(size=size) -> list[PeerLink]:
            return [
                PeerLink(clock, b"k", "n", "dc", None, 1 << 20, True)
                for _ in range(size)
            ]

        links, held_bytes = memory_of(make)
        for link in links:
            link._authenticated = True

        def send_heartbeats(links=links) -> None:
            for link in links:
                link.heartbeat(0.6, 5.0)

        rows.append(
            {
                "links": size,
                "bytes": held_bytes,
                "heartbeat_us": microseconds(send_heartbeats, 50),
            }
        )
    return rows


def main(save: bool) -> None:
    """Run all measurements; print the results as JSON."""
    result = {
        "members": members(),
        "half suspect": suspects(),
        "rules": rules(),
        "keys": keys(),
        "hot path": hot_path(),
        "peers": uvloop.run(peers()),
    }
    text = json.dumps(result, indent=1)
    print(text)
    if save:
        RESULTS.parent.mkdir(parents=True, exist_ok=True)
        RESULTS.write_text(text + "\n")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--save", action="store_true")
    main(parser.parse_args().save)
