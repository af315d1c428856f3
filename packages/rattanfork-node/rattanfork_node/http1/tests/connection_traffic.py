"""Poisson traffic through an upstream pool, in simulated time."""

import asyncio
from collections import Counter, deque
from dataclasses import dataclass
from random import Random

from rattanfork_node.http1 import UpstreamConnection, UpstreamPool, UpstreamResponse
from rattanfork_node.http1.tests.simulated_upstream import (
    RETRYABLE,
    UNRETRYABLE,
    SimulatedUpstream,
    UpstreamTraits,
)
from rattanfork_node.http1.tests.virtual_loop import LoopClock, VirtualTimeLoop

#: Seconds that a request waits for a slot, as at a gate.
_MAX_WAIT_S = 0.1
#: Slots, as a share of those of the upstream, that a gate uses.
_SLOT_SHARE = 0.945


@dataclass(frozen=True)
class Traffic:
    """Requests to one upstream.

    Parameters
    ==========

    traits : UpstreamTraits
        Behaviour of the upstream.
    rate : float
        Mean number of requests per second.
    unretryable_share : float
        Share of requests that must not run twice.
    cancelled_share : float
        Share of retryable requests that are cancelled during their run.
    burst_factor : float
        Factor of the rate during the first 5 s of each 20 s.
    max_connections : int
        Maximum size of the pool.
    """

    traits: UpstreamTraits
    rate: float
    unretryable_share: float
    cancelled_share: float = 0.01
    burst_factor: float = 1.0
    max_connections: int = 100


@dataclass(frozen=True)
class TrafficResult:
    """Counts of a simulated run.

    Parameters
    ==========

    new : dict
        New connections by cause.
    sent : int
        Requests sent to the upstream.
    stale_retryable, stale_unretryable : int
        Requests sent on a connection that the device had forgotten.
    run_twice : int
        Requests that the upstream ran more than once.
    refused : int
        Requests that got no slot or no connection.
    answered : int
        Requests with a response.
    """

    new: dict[str, int]
    sent: int
    stale_retryable: int
    stale_unretryable: int
    run_twice: int
    refused: int
    answered: int

    @property
    def total_new(self) -> int:
        """Number of new connections."""
        return sum(self.new.values())


class _Sender:
    """Sends requests within the slots of the upstream, like a gate."""

    def __init__(
        self, traffic: Traffic, loop: VirtualTimeLoop, random: Random, events: Counter
    ) -> None:
        self._traffic = traffic
        self._random = random
        self._loop = loop
        self.pool = UpstreamPool(
            LoopClock(loop),
            "127.0.0.1",
            1,
            traffic.max_connections,
            b"id",
            frozenset(),
            events,
        )
        self._free = max(1, int(traffic.traits.slots * _SLOT_SHARE))
        self._queue: deque[tuple[float, bytes]] = deque()
        self.sent = self.refused = self.answered = 0

    def offer(self, request: bytes) -> None:
        """Start a request, or queue it."""
        self._queue.append((self._loop.time(), request))
        self._start_next()

    def _start_next(self) -> None:
        while self._queue and self._free:
            queued_at, request = self._queue.popleft()
            if self._loop.time() - queued_at > _MAX_WAIT_S:
                self.refused += 1
                continue
            self._free -= 1
            self.pool.acquire(
                lambda connection, request=request: self._send(request, connection),
                request[:1] == RETRYABLE,
            )

    def _send(self, request: bytes, connection: UpstreamConnection | None) -> None:
        if connection is None:
            self.refused += 1
            self._finish()
            return
        self.sent += 1
        ended = []

        def on_response(response: UpstreamResponse | None) -> None:
            ended.append(True)
            self.answered += response is not None
            self._finish()

        def cancel() -> None:
            if not ended:
                connection.abort()
                self._finish()

        connection.send(request, request, on_response)
        traffic = self._traffic
        if request[:1] == RETRYABLE and self._random.random() < traffic.cancelled_share:
            delay = self._random.uniform(0.0, 1.5 * traffic.traits.run_s)
            self._loop.call_later(delay, cancel)

    def _finish(self) -> None:
        self._free += 1
        self._start_next()


def run_traffic(traffic: Traffic, seconds: float = 120.0, seed: int = 1):
    """Run Poisson traffic and return its counts."""
    upstream = SimulatedUpstream(traffic.traits, Random(seed))
    loop = VirtualTimeLoop(upstream.accept)
    events: Counter[str] = Counter()
    random = Random(seed + 1)
    sender = _Sender(traffic, loop, random, events)

    async def offer_all() -> None:
        number = 0
        next_sweep = 1.0
        while loop.time() < seconds:
            burst = loop.time() % 20.0 < 5.0
            rate = traffic.rate * (traffic.burst_factor if burst else 1.0)
            await asyncio.sleep(random.expovariate(rate))
            unretryable = random.random() < traffic.unretryable_share
            number += 1
            sender.offer((UNRETRYABLE if unretryable else RETRYABLE) + b"%d" % number)
            if loop.time() > next_sweep:
                next_sweep += 1.0
                sender.pool.sweep()
        await asyncio.sleep(1.0)
        sender.pool.close()

    try:
        loop.run_until_complete(offer_all())
    finally:
        loop.close()
    prefix = "connections.new."
    return TrafficResult(
        new={k[len(prefix) :]: n for k, n in events.items() if k.startswith(prefix)},
        sent=sender.sent,
        stale_retryable=upstream.stale[RETRYABLE],
        stale_unretryable=upstream.stale[UNRETRYABLE],
        run_twice=sum(n > 1 for n in upstream.runs.values()),
        refused=sender.refused,
        answered=sender.answered,
    )


_DEVICE = {"forget_for_s": 6.0}
#: Traffic of a typical gate, and of the gate of a service that is almost full.
SCENARIOS = {
    "sparse 15/s": Traffic(UpstreamTraits(0.05, 16), 15.0, 0.4),
    "sparse, device": Traffic(UpstreamTraits(0.05, 16, **_DEVICE), 15.0, 0.4),
    "sparse, resets": Traffic(UpstreamTraits(0.05, 16, reset_share=0.01), 15.0, 0.4),
    "sparse, device, resets": Traffic(
        UpstreamTraits(0.05, 16, reset_share=0.01, **_DEVICE), 15.0, 0.4
    ),
    "sparse 10/s, device": Traffic(UpstreamTraits(0.03, 16, **_DEVICE), 10.0, 0.4),
    "sparse 20/s, device": Traffic(UpstreamTraits(0.08, 32, **_DEVICE), 20.0, 0.6),
    "full": Traffic(UpstreamTraits(0.1, 90), 700.0, 0.25, 0.02, 1.7),
    "full, device": Traffic(UpstreamTraits(0.1, 90, **_DEVICE), 700.0, 0.25, 0.02, 1.7),
    "full, resets": Traffic(
        UpstreamTraits(0.1, 90, reset_share=0.002), 700.0, 0.25, 0.02, 1.7
    ),
    "full, device, resets": Traffic(
        UpstreamTraits(0.1, 90, reset_share=0.002, **_DEVICE), 700.0, 0.25, 0.02, 1.7
    ),
    "full, refuses": Traffic(
        UpstreamTraits(0.1, 90, refuses_above=0.93), 700.0, 0.25, 0.02, 1.7
    ),
}
