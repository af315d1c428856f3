"""Gates beside upstreams that send further responses, in simulated time."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from rattanfork_core.admission import AdmissionController
from rattanfork_core.budgets import GateRetryBudget
from rattanfork_core.quarantine import Quarantine
from rattanfork_core.request import CallResult, Outcome
from rattanfork_core.revision import RevisionState

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.http1 import HeaderNames
from rattanfork_node.http1.tests.fakes import FakeTransport
from rattanfork_node.http1.tests.virtual_loop import LoopClock, VirtualTimeLoop
from rattanfork_node.relay import DecisionLog
from rattanfork_node.relay.gate import Gate
from rattanfork_node.relay.job import Job
from rattanfork_node.relay.tests.fakes import FakeLog
from rattanfork_node.relay.upstream import Upstream
from rattanfork_node.telemetry import Counters

_ID_NAME = HeaderNames().request_id
_NOT_RUN_LINE = HeaderNames().not_run + b": 1\r\n"
#: Maximum seconds until a response or its second copy reaches the node.
_MAX_DELAY_S = 0.004
_SLOTS = 8
_REQUESTS_PER_S = 150.0
_DEADLINE_S = 1.0
#: Attempts at one request, as a caller's node makes while none has run.
_MAX_ATTEMPTS = 4
#: Seconds between two attempts: the way to the caller's node and back.
_RETRY_DELAY_S = 0.0005


@dataclass(frozen=True)
class Second:
    """What an upstream sends after a response, on the same connection.

    Parameters
    ==========

    copies_id : bool
        Whether it has the ID of that response; otherwise it has none.
    refuses : bool
        Whether it states that the request was not run; otherwise it repeats the
        response.
    after_refusals_only : bool
        Whether it follows refusals only.
    """

    copies_id: bool
    refuses: bool
    after_refusals_only: bool


def render_response(status: int, request_id: bytes, block: bytes = b"") -> bytes:
    """Return a response whose body is the ID of its request."""
    head = b"HTTP/1.1 %d Status\r\n%b" % (status, block)
    if request_id:
        head += b"%b: %b\r\n" % (_ID_NAME, request_id)
    return head + b"Content-Length: %d\r\n\r\n%b" % (len(request_id), request_id)


class RepeatingUpstream:
    """Upstream that refuses some requests and sends some further responses.

    Parameters
    ==========

    random : random.Random
        Source of delays and choices.
    second : Second or None
        What follows a part of the responses.
    share : float
        Share of requests that it refuses, and of responses that another one follows.
    runs : collections.Counter
        Counts the runs of each request.
    """

    def __init__(
        self, random: Random, second: Second | None, share: float, runs: Counter[bytes]
    ) -> None:
        self.random = random
        self.second = second
        self.share = share
        self.runs = runs

    def responses(self, request_id: bytes) -> tuple[float, bytes, bytes]:
        """Return the delay of the response to a request, it, and what follows it."""
        random, second = self.random, self.second
        refused = random.random() < self.share
        if refused:
            delay, response = 0.0002, render_response(503, request_id, _NOT_RUN_LINE)
        else:
            self.runs[request_id] += 1
            delay = random.uniform(0.01, 0.06)
            response = render_response(200, request_id)
        if (
            second is None
            or random.random() >= self.share
            or (second.after_refusals_only and not refused)
        ):
            return delay, response, b""
        block = _NOT_RUN_LINE if second.refuses or refused else b""
        status = 503 if block else 200
        second_id = request_id if second.copies_id else b""
        return delay, response, render_response(status, second_id, block)


class _Transport(FakeTransport):
    """Connection to an upstream that serves one request at a time."""

    def __init__(self, upstream: RepeatingUpstream, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._upstream = upstream
        self._protocol = protocol

    def write(self, data: bytes) -> None:
        """Receive a request."""
        lines = data.partition(b"\r\n\r\n")[0].split(b"\r\n")
        [request_id] = [
            line.partition(b": ")[2] for line in lines if line.startswith(_ID_NAME)
        ]
        delay, response, following = self._upstream.responses(request_id)
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._deliver, response)
        if following:
            further = self._upstream.random.uniform(0.0, _MAX_DELAY_S)
            loop.call_later(delay + further, self._deliver, following)

    def abort(self) -> None:
        """Close the connection."""
        if not self.is_closing():
            super().abort()
            loop = asyncio.get_running_loop()
            loop.call_soon(self._protocol.connection_lost, None)

    def close(self) -> None:
        """Close the connection."""
        self.abort()

    def _deliver(self, data: bytes) -> None:
        if not self.is_closing():
            self._protocol.data_received(data)


@dataclass
class Play:
    """What callers got, and what upstreams ran.

    Parameters
    ==========

    runs : collections.Counter
        Runs of each request.
    results : dict
        Last result of each request.
    events : collections.Counter
        Events counted by the gates.
    """

    runs: Counter[bytes]
    results: dict[bytes, CallResult]
    events: Counter[str]

    @property
    def refused_but_run(self) -> list[bytes]:
        """Requests reported as not run that have run."""
        return [
            request_id
            for request_id, result in self.results.items()
            if result.outcome is Outcome.NOT_RUN and self.runs[request_id]
        ]

    @property
    def run_twice(self) -> list[bytes]:
        """Requests that ran more than once."""
        return [request_id for request_id, times in self.runs.items() if times > 1]

    @property
    def mixed(self) -> list[bytes]:
        """Requests whose response is that of another one."""
        return [
            request_id
            for request_id, result in self.results.items()
            if result.outcome is Outcome.ANSWERED and result.body != request_id
        ]

    @property
    def unknown(self) -> list[bytes]:
        """Requests of which it is unknown whether they ran."""
        return [
            request_id
            for request_id, result in self.results.items()
            if result.outcome is Outcome.UNKNOWN
        ]


class _Caller:
    """Sends requests that must not run twice to gates in turn."""

    def __init__(self, gates: list[Gate], clock: LoopClock, play: Play) -> None:
        self._gates = gates
        self._clock = clock
        self._play = play

    def send(self, number: int) -> None:
        """Send a request, and again as long as it was not run."""
        request_id = b"r%d" % number
        self._attempt(request_id, number, 1, self._clock.now() + _DEADLINE_S)

    def _attempt(
        self, request_id: bytes, number: int, attempt: int, deadline: float
    ) -> None:
        def on_result(result: CallResult) -> None:
            self._play.results[request_id] = result
            if result.outcome is Outcome.NOT_RUN and attempt < _MAX_ATTEMPTS:
                asyncio.get_running_loop().call_later(
                    _RETRY_DELAY_S,
                    self._attempt,
                    request_id,
                    number,
                    attempt + 1,
                    deadline,
                )

        job = Job(
            "b1",
            "route/s",
            b"POST",
            b"/a/",
            b"Host: h\r\n%b: %b\r\n" % (_ID_NAME, request_id),
            b"",
            request_id,
            2.5,
            deadline,
            False,
            False,
            attempt > 1,
            attempt,
            on_result,
        )
        self._gates[(number + attempt) % len(self._gates)].submit(job)


def _make_gate(clock: LoopClock, counters: Counters) -> Gate:
    holder, rules = ConfigurationHolder(lambda _: None), RevisionState()
    log = DecisionLog(clock, FakeLog(clock), counters, holder, rules)
    grants = GateRetryBudget(clock, ratio=5.0, extra=10_000, window=10)
    grants.set_gate_count(1)
    names = HeaderNames()
    return Gate(clock, "b1", names, counters, log, grants, Quarantine(clock))


def play(
    second: Second | None,
    gates: int = 1,
    seed: int = 1,
    seconds: float = 10.0,
    share: float = 0.3,
    make_upstream: Callable[..., RepeatingUpstream] = RepeatingUpstream,
) -> Play:
    """Send requests to gates whose upstreams send further responses."""
    random = Random(seed)
    result = Play(Counter(), {}, Counter())
    upstream = make_upstream(random, second, share, result.runs)
    loop = VirtualTimeLoop(lambda protocol: _Transport(upstream, protocol))
    clock = LoopClock(loop)
    counters = Counters()

    async def send_all() -> None:
        made = [_make_gate(clock, counters) for _ in range(gates)]
        for number, gate in enumerate(made):
            gate.attach(Upstream(f"u{number}", "127.0.0.1", 1, _SLOTS), 40)
        caller = _Caller(made, clock, result)
        number, next_tick, next_sweep = 0, 0.0, 0.0
        while loop.time() < seconds:
            await asyncio.sleep(random.expovariate(_REQUESTS_PER_S))
            number += 1
            caller.send(number)
            if loop.time() > next_tick:
                next_tick = loop.time() + AdmissionController.TICK_SECONDS
                for gate in made:
                    gate.tick()
            if loop.time() > next_sweep:
                next_sweep = loop.time() + 1.0
                for gate in made:
                    gate.sweep()
        await asyncio.sleep(_DEADLINE_S)
        for gate in made:
            gate.close()

    try:
        loop.run_until_complete(send_all())
    finally:
        loop.close()
    result.events = counters.events
    return result
