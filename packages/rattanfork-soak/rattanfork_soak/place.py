"""One node, the worker beside it, and what is between them."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

from rattanfork_adapter.tests.fleet import NodeProcess
from rattanfork_testkit import FreePorts

from rattanfork_soak.keys import REVOKE_WITHIN
from rattanfork_soak.proxy import LoopbackProxy
from rattanfork_soak.worker import SoakWorker

#: Seconds after SIGTERM in which a node has to end.
_GRACE = 6.5
#: Seconds without a start, a signal or a pause from which a node is in touch.
_CONTACT = 3.0
#: Slots that each worker announces: more than its clients keep busy.
_SLOTS = 20


class Place:
    """One node, the worker beside it, and the proxies around them.

    Parameters
    ==========

    name : str
        Name of the node.
    worker : SoakWorker
        The worker beside it.
    now : callable
        Returns seconds from the start of the soak.
    """

    def __init__(self, name: str, worker: SoakWorker, now: Callable[[], float]) -> None:
        self.name = name
        self.worker = worker
        self.now = now
        #: When the node was last told to stop; None while it was not.
        self.told_to_stop: float | None = None
        self._disturbed = float("-inf")
        self._started = float("-inf")
        self._paused = False
        self._expected_to_end = False

    async def start(
        self, store: tuple[str, int], folder: Path, ports: FreePorts
    ) -> None:
        """Start proxies, worker and node."""
        self.worker.address = ("127.0.0.1", ports.reserve())
        await self.worker.start()
        self.worker_link = LoopbackProxy(self.worker.address)
        self.store_link = LoopbackProxy(store)
        await self.worker_link.start()
        await self.store_link.start()
        beside = SimpleNamespace(
            name=self.worker.name,
            service=self.worker.service,
            address=self.worker_link.address,
        )
        bounds = ("strictRevoke=true", f"revokeS={REVOKE_WITHIN:g}")
        self._node = NodeProcess(
            self.name, beside, self.store_link, folder, ports, bounds
        )
        self.worker.announce = self._announce
        await self._node.spawn()

    @property
    def url(self) -> str:
        """Where clients send their requests."""
        return f"http://127.0.0.1:{self._node.ports['outbound']}"

    @property
    def pid(self) -> int:
        """The node's process now."""
        return self._node.process.pid

    @property
    def log(self) -> Path:
        """What the node wrote."""
        return self._node.log

    @property
    def ended_by_itself(self) -> int | None:
        """Exit status of a node that ended though nobody told it to."""
        return None if self._expected_to_end else self._node.process.returncode

    @property
    def in_touch(self) -> bool:
        """Whether the node's process has run undisturbed for the contact time."""
        since = self.now() - _CONTACT
        stopping = self.told_to_stop is not None
        return (
            self._started < since and not stopping and not self.disturbed_since(since)
        )

    def disturb(self) -> None:
        """Take note that something unplanned happens here."""
        self._disturbed = self.now()

    def disturbed_since(self, at: float) -> bool:
        """Return whether something unplanned happened here since a time."""
        return self._paused or self._disturbed >= at

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        return await self._node.is_ready()

    def kill(self) -> None:
        """End the node at once."""
        self.disturb()
        self._expected_to_end = True
        self._signal(signal.SIGKILL)

    def tell_to_stop(self) -> None:
        """Ask the node to end."""
        self.told_to_stop = self.now()
        self._expected_to_end = True
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Stop the node's process from running."""
        self.disturb()
        self._paused = True
        self._signal(signal.SIGSTOP)

    def wake(self) -> None:
        """Let the node's process run again."""
        self._signal(signal.SIGCONT)
        self._paused = False
        self.disturb()

    def hang_up(self) -> None:
        """Tell the node that its settings may have changed."""
        self._signal(signal.SIGHUP)

    async def restart(self) -> None:
        """Wait for the node's end, and start it again."""
        try:
            async with asyncio.timeout(_GRACE):
                await self._node.process.wait()
        except TimeoutError:
            self.kill()
            await self._node.process.wait()
        await self._node.spawn()
        self._started = self.now()
        self._expected_to_end = False
        self.told_to_stop = None

    async def stop(self) -> None:
        """End everything here."""
        self._expected_to_end = True
        if self._node.process.returncode is None:
            self._node.process.kill()
            await self._node.process.wait()
        self.worker_link.stop()
        self.store_link.stop()
        self.worker.crash()

    async def _announce(self, state: str) -> int | None:
        # The worker may be another incarnation by now.
        self._node.worker.name = self.worker.name
        return await self._node.announce(state, _SLOTS)

    def _signal(self, number: int) -> None:
        if self._node.process.returncode is None:
            self._node.process.send_signal(number)
