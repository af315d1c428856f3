"""A small deployment on loopback: a store, nodes with workers, and clients."""

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from time import monotonic

from standins.client import Attempt, Clients, Kind
from standins.node import BOUNDS, Node, Ports
from standins.store import Store
from standins.worker import Run, Worker


class Site:
    """A worker, the node beside it, and the clients on the machine."""

    def __init__(self, node: Node, worker: Worker, clients: Clients) -> None:
        self.node = node
        self.worker = worker
        self.clients = clients


class Deployment:
    """Starts and stops all parts; keeps what was sent, answered and run.

    Parameters
    ==========

    seed : int
        Seed of all random choices of the stand-ins.
    bounds : tuple of str
        Entries of ``bounds`` in the settings.
    """

    def __init__(self, seed: int = 1, bounds: tuple[str, ...] = BOUNDS) -> None:
        self.random = Random(seed)
        self.store = Store()
        self.sites: list[Site] = []
        self.runs: list[Run] = []
        #: What happened, as pairs of time and text.
        self.events: list[tuple[float, str]] = []
        self.began_at = monotonic()
        self._bounds = bounds
        self._ports = Ports()
        self._folder = tempfile.TemporaryDirectory()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return monotonic() - self.began_at

    @property
    def attempts(self) -> list[Attempt]:
        """All requests of clients."""
        return [a for site in self.sites for a in site.clients.attempts]

    def note(self, text: str) -> None:
        """Record an event."""
        self.events.append((self.now, text))

    async def add_site(
        self, service: str, slots: int, queue: int, work_s: float, app=None, **more
    ) -> Site:
        """Add a machine with a worker; ``app`` puts something between worker and node."""
        number = len(self.sites) + 1
        worker = Worker(
            f"i-{service}-{number}",
            service,
            slots,
            queue,
            work_s,
            self.runs.append,
            self.random,
            **more,
        )
        await worker.start()
        address = worker.address if app is None else await app(worker)
        node = Node(
            f"n{number}",
            f"z{(number - 1) % 3 + 1}",
            service,
            address,
            self.store.address,
            self._ports,
            Path(self._folder.name),
            self._bounds,
        )
        worker.zone = node.zone
        site = Site(node, worker, Clients(node.name, node.outbound, self.random))
        self.sites.append(site)
        return site

    async def start(self) -> None:
        """Start all nodes and wait until they are ready."""
        for site in self.sites:
            await site.node.start()
        async with asyncio.timeout(15):
            for site in self.sites:
                while not await site.node.is_ready():
                    await asyncio.sleep(0.1)
        for site in self.sites:
            site.worker.announce_to(site.node.control)
        await asyncio.sleep(2.0)

    async def stop(self) -> None:
        """End all processes and listeners."""
        for site in self.sites:
            site.clients.close()
            site.worker.stop()
            await site.node.kill()
        self.store.stop()
        self._folder.cleanup()

    def write_record(self, path: Path, verdict: list[str]) -> None:
        """Write what was sent, answered and run, in the order of time."""
        lines = [(at, text) for at, text in self.events]
        for a in self.attempts:
            at = a.sent_at - self.began_at
            end = a.ended_at - self.began_at
            lines.append((at, f"sent {a.request_id} {a.kind} at {a.node}"))
            lines.append((end, f"answered {a.request_id} {a.status} {a.stamp}"))
        for run in self.runs:
            at = run.at - self.began_at
            lines.append((at, f"run {run.request_id} by {run.worker} {run.method}"))
        lines.sort(key=lambda line: line[0])
        text = "".join(f"{at:9.3f} {what}\n" for at, what in lines)
        path.write_text(text + "".join(f"{line}\n" for line in verdict))


def run_case(play: Callable[[bool], Awaitable[int]]) -> None:
    """Play a case and exit with its status; with 2 if it could not run.

    ``play`` gets whether the disruption happens: it does unless TROUBLE is 0.
    """

    async def run() -> int:
        task = asyncio.current_task()
        # On SIGTERM the processes of the case are ended before this one ends.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await play(os.environ.get("TROUBLE") != "0")

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        status = 2
    sys.exit(status)


def route(kind: Kind, service: str, idempotent: bool, timeout_s: float) -> dict:
    """Return a route of the operator's configuration for a kind of request."""
    return {
        "host": kind.host,
        "pathPrefix": kind.path,
        "kind": "idempotent" if idempotent else "non_idempotent",
        "timeoutS": timeout_s,
        "targetLatencyS": 1.5,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }


def configuration(version: int, routes: dict[str, dict], services: list[str]) -> dict:
    """Return a configuration in the operator's format."""
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": {s: {"healthPath": "/health", "maxConns": 400} for s in services},
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 16777216,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
    }
