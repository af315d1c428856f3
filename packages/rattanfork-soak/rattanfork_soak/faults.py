"""The faults that a soak injects, each from its beginning to its end."""

import asyncio
from abc import ABC, abstractmethod
from random import Random

from rattanfork_soak.place import Place
from rattanfork_soak.proxy import Harm
from rattanfork_soak.worker import Trouble
from rattanfork_soak.world import World

_HARMS = (Harm.DELAY, Harm.RESET, Harm.SILENT, Harm.ONE_WAY)
_STORE_FAULTS = ("busy", "many", "lost", "reset")
#: Seconds between an acknowledged leaving and the end of the worker.
_SERVE_ON = 2.4


class Fault(ABC):
    """One kind of fault.

    Parameters
    ==========

    world : World
        What is harmed.
    random : Random
        Source of where and how long, seeded for this one fault.
    """

    def __init__(self, world: World, random: Random) -> None:
        self.world = world
        self.random = random
        self.place: Place = random.choice(world.places)
        self.seconds = random.uniform(0.3, 3.0)

    def __str__(self) -> str:
        return f"{type(self).__name__} at {self.place.name} for {self.seconds:.2f} s"

    @abstractmethod
    async def strike(self) -> None:
        """Do the harm, wait, and undo it."""

    async def wait(self) -> None:
        """Let the fault last."""
        await asyncio.sleep(self.seconds)


class StoreAway(Fault):
    """The store answers none of the nodes as it should."""

    async def strike(self) -> None:
        """Let calls fail for a while."""
        self.world.store.fault = self.random.choice(_STORE_FAULTS)
        await self.wait()
        self.world.store.fault = ""


class StoreForgets(Fault):
    """The store ends all watches, and takes calls for a while that it forgets."""

    async def strike(self) -> None:
        """Be silent just while the nodes watch anew."""
        self.world.store.fault = "silent"
        self.world.store.abort_watches()
        await self.wait()
        self.world.store.fault = ""


class StoreCut(Fault):
    """One node's connections to the store are harmed."""

    async def strike(self) -> None:
        """Harm the link for a while."""
        self.place.store_link.harm = self.random.choice(_HARMS)
        await self.wait()
        self.place.store_link.harm = Harm.NONE


class WorkerCut(Fault):
    """The connections between a node and its worker are harmed."""

    async def strike(self) -> None:
        """Harm the link for a while."""
        self.place.disturb()
        self.place.worker_link.harm = self.random.choice(_HARMS)
        await self.wait()
        self.place.worker_link.harm = Harm.NONE
        self.place.disturb()


class WorkerTrouble(Fault):
    """A worker is slow, refuses, fails, truncates_responses or hangs."""

    async def strike(self) -> None:
        """Let the worker misbehave for a while."""
        troubles = [trouble for trouble in Trouble if trouble is not Trouble.NONE]
        self.place.worker.trouble = self.random.choice(troubles)
        await self.wait()
        self.place.worker.trouble = Trouble.NONE


class WorkerCrash(Fault):
    """A worker ends without a word and comes back as another incarnation."""

    async def strike(self) -> None:
        """Crash the worker and start it again."""
        async with self.world.worker_lock(self.place):
            self.place.disturb()
            self.place.worker.crash()
            await self.wait()
            await self.place.worker.start()
            self.place.disturb()


class WorkerLeaves(Fault):
    """A worker says that it leaves, serves on for a while, and is replaced."""

    async def strike(self) -> None:
        """Leave, end, and start anew."""
        async with self.world.worker_lock(self.place):
            await self.place.worker.leave()
            await asyncio.sleep(_SERVE_ON + self.seconds)
            self.place.disturb()
            self.place.worker.crash()
            await self.place.worker.start()


class NodeKilled(Fault):
    """A node's process is killed and started again."""

    async def strike(self) -> None:
        """Kill and restart."""
        async with self.world.node_lock(self.place):
            self.place.kill()
            await self.wait()
            await self.place.restart()
            self.place.disturb()


class NodePaused(Fault):
    """A node's process stands still, as a machine that is suspended."""

    async def strike(self) -> None:
        """Pause and wake."""
        async with self.world.node_lock(self.place):
            self.place.pause()
            await self.wait()
            self.place.wake()


class NodeToldToStop(Fault):
    """A node is told to stop, ends by itself, and is started again."""

    async def strike(self) -> None:
        """Signal and restart."""
        async with self.world.node_lock(self.place):
            self.place.tell_to_stop()
            await self.place.restart()


class HangUp(Fault):
    """A node is told that its settings may have changed."""

    async def strike(self) -> None:
        """Signal."""
        self.place.hang_up()


class ConfigurationChange(Fault):
    """The operator writes another version."""

    async def strike(self) -> None:
        """Write it."""
        await self.world.change_configuration()


class AllKilled(Fault):
    """All nodes are killed at the same moment."""

    async def strike(self) -> None:
        """Kill and restart all that no other fault is at work on."""
        free = [p for p in self.world.places if not self.world.node_lock(p).locked()]
        await asyncio.gather(*map(self._kill, free))

    async def _kill(self, place: Place) -> None:
        async with self.world.node_lock(place):
            place.kill()
            await self.wait()
            await place.restart()
            place.disturb()


#: Kinds, and how often each comes.
KINDS: dict[type[Fault], int] = {
    StoreAway: 3,
    StoreCut: 3,
    WorkerCut: 3,
    WorkerTrouble: 4,
    WorkerCrash: 2,
    WorkerLeaves: 3,
    NodeKilled: 3,
    NodePaused: 3,
    NodeToldToStop: 4,
    HangUp: 1,
    ConfigurationChange: 5,
    AllKilled: 1,
}


def draw_fault(world: World, random: Random) -> Fault:
    """Return a fault of a kind drawn by how often it comes."""
    [kind] = random.choices(list(KINDS), list(KINDS.values()))
    return kind(world, Random(random.getrandbits(64)))
