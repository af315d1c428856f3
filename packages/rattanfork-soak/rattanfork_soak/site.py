"""A node process with its worker and the proxies that inject network faults."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

from rattanfork_adapter.tests.fleet import NodeProcess
from rattanfork_testkit import FreePorts

from rattanfork_soak.keys import REVOKE_WITHIN_S
from rattanfork_soak.proxy import LoopbackProxy
from rattanfork_soak.retry_check import EXTRA_RETRIES, RETRY_RATIO, RETRY_WINDOW_S
from rattanfork_soak.worker import SoakWorker

#: Time after SIGTERM within which a node has to exit.
_STOP_TIMEOUT_S = 6.5
#: Time without start, stop, pause or fault after which a node counts as stable.
_STABLE_AFTER_S = 3.0
#: Memory that a node may use, in MB, as its settings say.
MEMORY_LIMIT_MB = 200
#: Exceeds the number of requests that clients send to a worker at once.
_ANNOUNCED_SLOTS = 20


class Site:
    """A node, its worker, and proxies on the links node-worker and node-store.

    Parameters
    ==========

    name : str
        Name of the node.
    worker : SoakWorker
        The worker that the node serves.
    now : callable
        Returns seconds from the start of the soak.
    """

    def __init__(self, name: str, worker: SoakWorker, now: Callable[[], float]) -> None:
        self.name = name
        self.worker = worker
        self.now = now
        #: When the running node got SIGTERM; None if it did not.
        self.stop_requested_at: float | None = None
        self._disturbed_at = float("-inf")
        #: When the node's process was last killed, paused or resumed.
        self.interrupted_at = float("-inf")
        self._started_at = float("-inf")
        self._paused = False
        self._exit_expected = False

    async def start(
        self, store: tuple[str, int], folder: Path, ports: FreePorts
    ) -> None:
        """Start the worker, the proxies and the node."""
        self.worker.address = ("127.0.0.1", ports.reserve())
        await self.worker.start()
        self.worker_link = LoopbackProxy(self.worker.address)
        self.store_link = LoopbackProxy(store)
        await self.worker_link.start()
        await self.store_link.start()
        proxied_worker = SimpleNamespace(
            name=self.worker.name,
            service=self.worker.service,
            address=self.worker_link.address,
        )
        bounds = (
            "strictRevoke=true",
            f"revokeS={REVOKE_WITHIN_S:g}",
            f"budgetRatio={RETRY_RATIO:g}",
            f"budgetExtra={EXTRA_RETRIES:g}",
            f"budgetWindowS={RETRY_WINDOW_S:g}",
        )
        self._node = NodeProcess(
            self.name,
            proxied_worker,
            self.store_link,
            folder,
            ports,
            bounds,
            MEMORY_LIMIT_MB,
        )
        self.worker.announce = self._announce
        self.worker.deregister = self._deregister
        await self._node.spawn()

    @property
    def url(self) -> str:
        """Base URL for requests of clients."""
        return f"http://127.0.0.1:{self._node.ports['outbound']}"

    @property
    def address(self) -> tuple[str, int]:
        """Host and port for requests of clients."""
        return "127.0.0.1", self._node.ports["outbound"]

    @property
    def pid(self) -> int:
        """Process ID of the node."""
        return self._node.process.pid

    @property
    def log(self) -> Path:
        """Path of the node's log."""
        return self._node.log

    @property
    def unexpected_exit_status(self) -> int | None:
        """Exit status of a node that exited without being stopped; None otherwise."""
        return None if self._exit_expected else self._node.process.returncode

    @property
    def peak_memory_mb(self) -> float:
        """Largest resident memory of the node's process so far; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        sizes = [s.split()[1] for s in status.splitlines() if s.startswith("VmHWM:")]
        return int(sizes[0]) / 1000 if sizes else 0.0

    @property
    def started_at(self) -> float:
        """When the node's process was started again; minus infinity before."""
        return self._started_at

    @property
    def stable(self) -> bool:
        """Whether no start, stop, pause or fault has affected the node for a while."""
        since = self.now() - _STABLE_AFTER_S
        stopping = self.stop_requested_at is not None
        return (
            self._started_at < since
            and not stopping
            and not self.disturbed_since(since)
        )

    def record_disturbance(self) -> None:
        """Record that the node or its worker is disturbed now."""
        self._disturbed_at = self.now()

    def disturbed_since(self, at: float) -> bool:
        """Return whether the node or its worker was disturbed since a time."""
        return self._paused or self._disturbed_at >= at

    async def is_ready(self) -> bool:
        """Return whether the node reports that it is ready."""
        return await self._node.is_ready()

    def kill(self) -> None:
        """Send SIGKILL to the node."""
        self._record_interruption()
        self._exit_expected = True
        self._signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Send SIGTERM to the node."""
        self.stop_requested_at = self.now()
        self._exit_expected = True
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Pause the node's process (SIGSTOP)."""
        self._record_interruption()
        self._paused = True
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the node's process (SIGCONT)."""
        self._signal(signal.SIGCONT)
        self._paused = False
        self._record_interruption()

    def reload(self) -> None:
        """Send SIGHUP: the settings may have changed.

        No program can handle a signal that arrives before its first statement, so none
        is sent while the interpreter of a node starts.
        """
        if _handles(self.pid, signal.SIGHUP):
            self._signal(signal.SIGHUP)

    async def restart(self) -> None:
        """Wait until the node has exited, kill it if it is late, and start it again."""
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                await self._node.process.wait()
        except TimeoutError:
            self.kill()
            await self._node.process.wait()
        await self._node.spawn()
        self._started_at = self.now()
        self._exit_expected = False
        self.stop_requested_at = None

    async def stop(self) -> None:
        """Stop the node, the proxies and the worker."""
        self._exit_expected = True
        if self._node.process.returncode is None:
            self._node.process.kill()
            await self._node.process.wait()
        self.worker_link.stop()
        self.store_link.stop()
        self.worker.crash()

    async def _announce(self, state: str) -> int | None:
        # The worker's ID changes with each incarnation.
        self._node.worker.name = self.worker.name
        return await self._node.announce(state, _ANNOUNCED_SLOTS)

    async def announce_late(self) -> None:
        """Deliver an announcement as ready that was sent before the last message."""
        await self._node.announce(
            "ready", _ANNOUNCED_SLOTS, sequence=self._node.sequence - 1
        )

    async def _deregister(self) -> int | None:
        self._node.worker.name = self.worker.name
        return await self._node.deregister()

    def _record_interruption(self) -> None:
        self.record_disturbance()
        self.interrupted_at = self.now()

    def _signal(self, number: int) -> None:
        if self._node.process.returncode is None:
            self._node.process.send_signal(number)


def _handles(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores or catches a signal."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return any(mask >> (number - 1) & 1 for mask in masks)
