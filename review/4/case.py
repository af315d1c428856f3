"""Fault: a request body within the operator's limit ends two node processes."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from kit import HOST, Node, Record, Store, Worker, call, main

#: Memory limit of a machine (settings, ``limits.memoryMb``); counted in MiB here.
MEMORY_MB = 200
#: The operator's limit on bodies, and the sizes that the client sends.
MAX_BODY_BYTES = 67_108_864
LARGE_BODY_BYTES = 64_000_000
SMALL_BODY_BYTES = 1_200
#: Requests at each of two machines, and the seconds between their starts.
REQUESTS = 4
PAUSE_S = 8.0
RESTART_DELAY_S = 0.5
#: Ends of processes on so many machines, so many times each, break the rule.
ENDS, ENDED_MACHINES = 3, 2


def configuration() -> dict:
    """Return a route to each of two services."""
    route = {
        "host": HOST, "kind": "non_idempotent", "timeoutS": 5.0,
        "targetLatencyS": 1.5, "priority": 0, "maxAttempts": 2,
    }
    return {
        "version": "00000007",
        "routes": {
            f"r-{s}": route | {"pathPrefix": f"/{s}/", "service": s} for s in "ab"
        },
        "services": {s: {"healthPath": "/health", "maxConns": 470} for s in "ab"},
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutS": 3, "idleTimeoutS": 15,
        },
    }


def peak_memory(pid: int) -> int:
    """Return the most memory that a process has had, in bytes; 0 after its end."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) * 1024
    except OSError:
        pass
    return 0


async def supervise(node: Node, ends: dict[str, int], record: Record) -> None:
    """Do what the platform does: kill above the memory limit, and start again."""
    while True:
        await asyncio.sleep(0.02)
        process = node.process
        peak = peak_memory(process.pid)
        if process.returncode is None and peak > MEMORY_MB << 20:
            record.add("over-memory", node=node.name, peak=peak)
            process.kill()
            await process.wait()
        if process.returncode is not None:
            ends[node.name] += 1
            record.add("ended", node=node.name, status=process.returncode, peak=peak)
            await asyncio.sleep(RESTART_DELAY_S)
            await node.spawn()


async def post(node: Node, request_id: str, body: bytes, record: Record) -> None:
    """Send one request as a client on a node's machine."""
    await node.wait_ready()
    head = {"X-Rattanfork-Request-Id": request_id, "X-Rattanfork-Deadline-Ms": 5000}
    record.add("sent", id=request_id, node=node.name, body=len(body))
    answer = await call(node.ip, node.ports["outbound"], "POST /b/x", head, body, 5.0)
    status = 0 if answer is None else answer.status
    record.add("answer", id=request_id, status=status)


async def case(folder: Path, record: Record, trouble: bool) -> bool:
    """Return whether the rule held."""
    store = Store()
    await store.start()
    await store.put_config(configuration())
    nodes: list[Node] = []
    for number, service in enumerate("aab", 1):
        ip = f"127.0.5.{number}"
        worker = Worker(ip, service, f"i-{number:08x}", record, work_s=0.2)
        await worker.start()
        nodes.append(
            Node(
                f"n{number}", ip, f"z{number}", worker, store, folder, record,
                memory_mb=MEMORY_MB,
            )
        )
    tasks: list[asyncio.Task] = []
    try:
        return await play(nodes, tasks, record, trouble)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for node in nodes:
            await node.stop()


async def play(
    nodes: list[Node], tasks: list[asyncio.Task], record: Record, trouble: bool
) -> bool:
    """Play the events; return whether the rule held."""
    for node in nodes:
        await node.spawn()
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(2.0)
    ends = {node.name: 0 for node in nodes}
    tasks += [asyncio.ensure_future(supervise(n, ends, record)) for n in nodes]
    size = LARGE_BODY_BYTES if trouble else SMALL_BODY_BYTES
    body = os.urandom(100) * (size // 100)
    for number in range(REQUESTS):
        began = time.monotonic()
        await asyncio.gather(
            *(post(node, f"c-{node.name}-{number}", body, record) for node in nodes[:2])
        )
        await asyncio.sleep(max(0.0, began + PAUSE_S - time.monotonic()))
    for name, count in ends.items():
        print(f"{name}: ended {count} times")
    record.add("ends", **ends)
    return sum(count >= ENDS for count in ends.values()) < ENDED_MACHINES


if __name__ == "__main__":
    main(case)
