"""Stand-in of an upstream and of a device before it, in simulated time."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from random import Random

from rattanfork_node.http1.tests.fakes import FakeTransport

#: First byte of a request that must not run twice.
UNRETRYABLE = b"U"
RETRYABLE = b"R"
#: Seconds until a reset or a response reaches the node.
_DELIVERY_S = 0.0003
#: A busy node reads one response in a hundred later by up to this time in seconds.
_READ_LAG_S = 0.06


@dataclass(frozen=True)
class UpstreamTraits:
    """How an upstream and the device before it behave.

    Parameters
    ==========

    run_s : float
        Mean duration of a run in seconds.
    slots : int
        Requests that it can run concurrently.
    keep_alive_s : float
        Seconds after which it closes an idle connection, stated in its responses.
    close_share : float
        Share of responses with ``Connection: close``.
    reset_share : float
        Share of requests whose connection it resets at once, whether idle or not.
    refuses_above : float
        Share of the slots in use above which it resets new connections.
    forget_every_s, forget_for_s : float
        The device forgets idle connections during the last ``forget_for_s`` seconds
        of each period of ``forget_every_s``.
    forgotten_after_s : float
        Idle seconds after which it then forgets a connection.
    """

    run_s: float
    slots: int
    keep_alive_s: float = 10.0
    close_share: float = 0.002
    reset_share: float = 0.0
    refuses_above: float = 1.0
    forget_every_s: float = 60.0
    forget_for_s: float = 0.0
    forgotten_after_s: float = 0.3

    def is_forgotten(self, idle_since: float, now: float) -> bool:
        """Return whether the device has forgotten a connection by now."""
        start = max(idle_since + self.forgotten_after_s, 0.0)
        if start > now or not self.forget_for_s:
            return False
        begin = self.forget_every_s - self.forget_for_s
        phase = start % self.forget_every_s
        return phase >= begin or now - start >= begin - phase


class SimulatedUpstream:
    """An upstream that responds in simulated time and counts what it ran.

    Parameters
    ==========

    traits : UpstreamTraits
        Its behaviour.
    random : random.Random
        Source of durations and faults.
    """

    def __init__(self, traits: UpstreamTraits, random: Random) -> None:
        self.traits = traits
        self.random = random
        self.running = 0
        #: Times each request was run.
        self.runs: Counter[bytes] = Counter()
        #: Requests sent on connections that were forgotten, by their first byte.
        self.stale: Counter[bytes] = Counter()

    def accept(self, protocol: asyncio.Protocol) -> "SimulatedTransport":
        """Return the transport of a new connection."""
        transport = SimulatedTransport(self, protocol)
        if self.running > self.traits.refuses_above * self.traits.slots:
            transport.reset_later()
        return transport


class SimulatedTransport(FakeTransport):
    """Connection to a simulated upstream, through the device."""

    def __init__(self, upstream: SimulatedUpstream, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._upstream = upstream
        self._protocol = protocol
        self._loop = asyncio.get_running_loop()
        #: Time of the last activity that the device saw.
        self._idle_since = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._running = False
        self._ended = False
        self._close_when_idle()

    def write(self, data: bytes) -> None:
        """Run a request, or reset the connection."""
        upstream, traits = self._upstream, self._upstream.traits
        if self._ended:
            return
        self._cancel_timer()
        if traits.is_forgotten(self._idle_since, self._loop.time()):
            upstream.stale[data[:1]] += 1
            self.reset_later()
            return
        upstream.runs[data] += 1
        if upstream.random.random() < traits.reset_share:
            self.reset_later()
            return
        self._running = True
        upstream.running += 1
        run_s = upstream.random.gammavariate(4.0, traits.run_s / 4.0)
        self._timer = self._loop.call_later(run_s, self._respond, data)

    def reset_later(self) -> None:
        """Reset the connection as soon as the node can notice it."""
        self._cancel_timer()
        self._ended = True
        self._loop.call_later(_DELIVERY_S, self._lose, ConnectionResetError())

    def abort(self) -> None:
        """Drop the request in progress, as most upstreams do."""
        super().abort()
        self._end()

    def close(self) -> None:
        """Close the connection, on which nothing is in progress."""
        super().close()
        self._end()

    def _respond(self, data: bytes) -> None:
        self._stop_run()
        self._idle_since = self._loop.time()
        random, traits = self._upstream.random, self._upstream.traits
        closes = random.random() < traits.close_share
        connection = b"close" if closes else b"keep-alive"
        head = b"HTTP/1.1 200 OK\r\nId: %b\r\nKeep-Alive: timeout=%d\r\n" % (
            data,
            traits.keep_alive_s,
        )
        head += b"Connection: %b\r\nContent-Length: 2\r\n\r\nok" % connection
        lag = random.uniform(0.0, _READ_LAG_S) if random.random() < 0.01 else 0.0
        self._loop.call_later(_DELIVERY_S + lag, self._deliver, head)
        if not closes:
            self._close_when_idle()

    def _deliver(self, data: bytes) -> None:
        if not self.is_closing():
            self._protocol.data_received(data)

    def _close_when_idle(self) -> None:
        self._timer = self._loop.call_later(
            self._upstream.traits.keep_alive_s, self._lose, None
        )

    def _lose(self, error: Exception | None) -> None:
        if not self.is_closing():
            self._end()
            self.closed = True
            self._protocol.connection_lost(error)

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self._cancel_timer()
        self._stop_run()

    def _stop_run(self) -> None:
        if self._running:
            self._running = False
            self._upstream.running -= 1

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
