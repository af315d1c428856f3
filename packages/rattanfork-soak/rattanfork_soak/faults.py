"""Faults that a soak injects: each is drawn from a seed, started and undone."""

import asyncio
from abc import ABC, abstractmethod
from random import Random

from rattanfork_soak.environment import Environment
from rattanfork_soak.proxy import LinkFault
from rattanfork_soak.site import Site
from rattanfork_soak.worker import WorkerFault

_LINK_FAULTS = (LinkFault.DELAY, LinkFault.RESET, LinkFault.SILENT, LinkFault.ONE_WAY)
#: Malfunctions after which a request is retried, and the longest time until they begin.
_RETRIED_FAULTS = (WorkerFault.SHEDS, WorkerFault.FAILS, WorkerFault.TRUNCATES)
_MAX_FAILURE_DELAY_S = 8.0
_STORE_FAULTS = ("busy", "many", "lost", "reset")
#: Time for which a draining worker goes on serving after the acknowledgement.
_DRAIN_TIME_S = 2.4


class Fault(ABC):
    """One kind of fault.

    Parameters
    ==========

    environment : Environment
        Store, nodes and workers to inject the fault into.
    random : Random
        Generator of this one fault, which draws its site and duration.
    """

    def __init__(self, environment: Environment, random: Random) -> None:
        self.environment = environment
        self.random = random
        self.site: Site = random.choice(environment.sites)
        self.seconds = random.uniform(0.3, 3.0)

    def __str__(self) -> str:
        return f"{type(self).__name__} at {self.site.name} for {self.seconds:.2f} s"

    @abstractmethod
    async def inject(self) -> None:
        """Start the fault, wait, and undo it."""

    async def wait(self) -> None:
        """Wait for the duration of the fault."""
        await asyncio.sleep(self.seconds)


class StoreUnavailable(Fault):
    """The store fails all calls of all nodes in one way."""

    async def inject(self) -> None:
        """Make calls fail for the duration."""
        self.environment.store.fault = self.random.choice(_STORE_FAULTS)
        await self.wait()
        self.environment.store.fault = ""


class StoreDropsWatches(Fault):
    """The store aborts all watches and never responds to those that replace them."""

    async def inject(self) -> None:
        """Stop responding while the nodes renew their watches."""
        self.environment.store.fault = "silent"
        self.environment.store.abort_watches()
        await self.wait()
        self.environment.store.fault = ""


class StoreLinkFault(Fault):
    """A network fault between one node and the store."""

    async def inject(self) -> None:
        """Apply a network fault to the link for the duration."""
        self.site.store_link.fault = self.random.choice(_LINK_FAULTS)
        await self.wait()
        self.site.store_link.fault = LinkFault.NONE


class WorkerLinkFault(Fault):
    """A network fault between a node and its worker."""

    async def inject(self) -> None:
        """Apply a network fault to the link for the duration."""
        self.site.record_disturbance()
        self.site.worker_link.fault = self.random.choice(_LINK_FAULTS)
        await self.wait()
        self.site.worker_link.fault = LinkFault.NONE
        self.site.record_disturbance()


class WorkerMalfunction(Fault):
    """A worker is slow, sheds, fails, hangs, or sends bytes that are no response."""

    async def inject(self) -> None:
        """Make the worker malfunction for the duration."""
        faults = [fault for fault in WorkerFault if fault is not WorkerFault.NONE]
        self.site.worker.fault = self.random.choice(faults)
        await self.wait()
        self.site.worker.fault = WorkerFault.NONE


class WorkerCrash(Fault):
    """A worker crashes without draining and restarts as a new incarnation."""

    async def inject(self) -> None:
        """Crash and restart the worker."""
        async with self.environment.worker_lock(self.site):
            self.site.record_disturbance()
            self.site.worker.crash()
            await self.wait()
            await self.site.worker.start()
            self.site.record_disturbance()


class WorkerDrain(Fault):
    """A worker drains, goes on serving for a while, and is replaced."""

    async def inject(self) -> None:
        """Drain, stop and restart the worker."""
        async with self.environment.worker_lock(self.site):
            await self.site.worker.leave()
            await asyncio.sleep(_DRAIN_TIME_S + self.seconds)
            self.site.record_disturbance()
            self.site.worker.crash()
            await self.site.worker.start()


class NodeCrash(Fault):
    """A node crashes (SIGKILL) and is restarted."""

    async def inject(self) -> None:
        """Kill and restart the node."""
        await self.environment.kill_and_restart(self.site, self.seconds)


class NodePause(Fault):
    """A node's process is paused (SIGSTOP), as on a suspended machine."""

    async def inject(self) -> None:
        """Pause and resume the node."""
        async with self.environment.node_lock(self.site):
            self.site.pause()
            await self.wait()
            self.site.resume()


class NodeShutdown(Fault):
    """A node drains on SIGTERM, exits, and is restarted."""

    async def inject(self) -> None:
        """Terminate and restart the node."""
        async with self.environment.node_lock(self.site):
            self.site.terminate()
            await self.site.restart()


class NodeReload(Fault):
    """A node gets SIGHUP, which means that its settings may have changed."""

    async def inject(self) -> None:
        """Send the signal."""
        self.site.reload()


class ConfigurationChange(Fault):
    """The operator writes a new version of the configuration."""

    async def inject(self) -> None:
        """Write the next version."""
        await self.environment.change_configuration()


class PowerLoss(Fault):
    """All nodes are killed at once, as by a power loss."""

    async def inject(self) -> None:
        """Kill and restart all nodes that no other fault has locked."""
        free = [
            p
            for p in self.environment.sites
            if not self.environment.node_lock(p).locked()
        ]
        await asyncio.gather(
            *(self.environment.kill_and_restart(site, self.seconds) for site in free)
        )


class RestartsUnderFailure(PowerLoss):
    """Most nodes are killed several times within seconds, while all workers fail.

    Guards against retries that are granted again by nodes that forgot what they had
    granted.
    """

    def __init__(self, environment: Environment, random: Random) -> None:
        super().__init__(environment, random)
        self.begins_after = random.uniform(0.0, _MAX_FAILURE_DELAY_S)
        self.worker_fault = random.choice(_RETRIED_FAULTS)
        self.kills = random.randint(3, 4)
        #: Time for which a killed node is down.
        self.seconds = random.uniform(0.0, 0.3)

    def __str__(self) -> str:
        return (
            f"{type(self).__name__}: all workers: {self.worker_fault.value}, "
            f"{self.kills} times, from {self.begins_after:.2f} s later"
        )

    async def inject(self) -> None:
        """Let the workers fail and kill nodes meanwhile."""
        await asyncio.sleep(self.begins_after)
        workers = [site.worker for site in self.environment.sites]
        for worker in workers:
            worker.fault = self.worker_fault
        for _ in range(self.kills):
            await asyncio.sleep(self.random.uniform(0.5, 1.5))
            await super().inject()
        await asyncio.sleep(1.0)
        for worker in workers:
            worker.fault = WorkerFault.NONE


class SecondResponses(Fault):
    """All workers shed many requests and send second responses.

    Guards against proofs of "not run" that rest on the response to another attempt.
    """

    def __init__(self, environment: Environment, random: Random) -> None:
        super().__init__(environment, random)
        self.begins_after = random.uniform(0.0, _MAX_FAILURE_DELAY_S)

    def __str__(self) -> str:
        return f"{type(self).__name__}: all workers, from {self.begins_after:.2f} s"

    async def inject(self) -> None:
        """Let the workers repeat responses for the duration."""
        await asyncio.sleep(self.begins_after)
        workers = [site.worker for site in self.environment.sites]
        for worker in workers:
            worker.fault = WorkerFault.REPEATS
        await self.wait()
        for worker in workers:
            worker.fault = WorkerFault.NONE


#: Relative frequency of each kind of fault.
FAULT_WEIGHTS: dict[type[Fault], int] = {
    StoreUnavailable: 3,
    StoreLinkFault: 3,
    WorkerLinkFault: 3,
    WorkerMalfunction: 4,
    WorkerCrash: 2,
    WorkerDrain: 3,
    NodeCrash: 3,
    NodePause: 3,
    NodeShutdown: 4,
    NodeReload: 1,
    ConfigurationChange: 5,
    PowerLoss: 1,
}


def draw_fault(environment: Environment, random: Random) -> Fault:
    """Return a fault whose kind is drawn by :data:`FAULT_WEIGHTS`."""
    [kind] = random.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))
    return kind(environment, Random(random.getrandbits(64)))
