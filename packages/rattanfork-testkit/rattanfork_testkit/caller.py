"""Open-loop callers."""

import asyncio
import json
from dataclasses import dataclass, field
from random import Random
from time import monotonic

import aiohttp


@dataclass(slots=True)
class LoadSpec:
    """One kind of request, and how callers behave.

    Parameters
    ==========

    path : str
        What is called, as SERVICE/OPERATION.
    rate : float
        Requests a second, whatever becomes of those before.
    timeout : float
        Seconds in which the answer is needed.
    attempt_timeout : float
        Seconds after which one try is given up; 0 for the whole time.
    retries : int
        Retries at once on any failure: callers ignore Retry-After.
    retry_unsafe : bool
        Whether postings are tried again although they may have run.
    """

    name: str
    path: str
    rate: float
    importance: str = "normal"
    method: str = "GET"
    timeout: float = 1.0
    attempt_timeout: float = 0.0
    retries: int = 0
    retry_unsafe: bool = False


@dataclass(slots=True)
class Sample:
    """One request of a caller."""

    name: str
    request_id: str
    began: float
    duration: float
    succeeded: bool
    outcome: str
    status: int
    tries: int


@dataclass(slots=True)
class CallerStats:
    """What callers saw."""

    samples: list[Sample] = field(default_factory=list)

    def named(self, name: str) -> list[Sample]:
        """Return the samples of one kind of request."""
        return [sample for sample in self.samples if sample.name == name]

    def good_ids(self) -> set[str]:
        """Return the IDs of requests that were answered whole and in time."""
        return {sample.request_id for sample in self.samples if sample.succeeded}


class OpenLoopCaller:
    """Sends requests at given rates, whether or not earlier ones end.

    Parameters
    ==========

    edges : list of str
        Base URLs to spread requests over.
    seed : int
        Seed of arrivals and choices.
    plain : bool
        Whether there is no rattanfork in between.
    """

    def __init__(self, edges: list[str], seed: int = 1, plain: bool = False) -> None:
        self._edges = edges
        self._random = Random(seed)
        self._plain = plain
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task] = set()
        self._stats = CallerStats()
        self._rates: dict[str, float] = {}

    @property
    def stats(self) -> CallerStats:
        """What callers saw so far."""
        return self._stats

    def set_rate(self, name: str, rate: float) -> None:
        """Change the rate of one kind of request while it runs."""
        self._rates[name] = rate

    async def run(self, specs: list[LoadSpec], seconds: float) -> CallerStats:
        """Send for some seconds, then wait for what is under way."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self._session:
            self._rates.update({spec.name: spec.rate for spec in specs})
            end = monotonic() + seconds
            await asyncio.gather(*(self._send_forever(spec, end) for spec in specs))
            if self._tasks:
                await asyncio.wait(self._tasks, timeout=15)
        return self._stats

    async def _send_forever(self, spec: LoadSpec, end: float) -> None:
        at = monotonic()
        while at < end:
            rate = self._rates[spec.name]
            if rate <= 0:
                at = monotonic() + 0.02
                await asyncio.sleep(0.02)
                continue
            at += self._random.expovariate(rate)
            delay = at - monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            elif delay < -0.5:
                at = monotonic()
            task = asyncio.ensure_future(self._request(spec))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _request(self, spec: LoadSpec) -> None:
        request_id = f"{self._random.getrandbits(128):032x}"
        began = monotonic()
        good, outcome, status, tries = False, "unknown", 0, 0
        while tries <= spec.retries and monotonic() - began < spec.timeout:
            tries += 1
            good, outcome, status = await self._try(spec, request_id, began, tries)
            posted = spec.method == "POST" and not spec.retry_unsafe
            if good or (posted and outcome != "not-run"):
                break
            # Hard retries: at once, but for the time a client takes to act.
            await asyncio.sleep(0.02)
        took = monotonic() - began
        self._stats.samples.append(
            Sample(spec.name, request_id, began, took, good, outcome, status, tries)
        )

    async def _try(
        self, spec: LoadSpec, request_id: str, began: float, number: int
    ) -> tuple[bool, str, int]:
        left = spec.timeout - (monotonic() - began)
        if spec.attempt_timeout:
            left = min(left, spec.attempt_timeout)
        edge = self._random.choice(self._edges)
        headers = {
            "Rattanfork-Request-Id": request_id,
            "Rattanfork-Importance": spec.importance,
            "Rattanfork-Caller": f"caller-{hash(request_id) % 1000}",
            "Rattanfork-Timeout-Ms": str(max(1, int(left * 1000))),
            "Rattanfork-Attempt": str(number),
        }
        url = f"{edge}/{spec.path}?echo={request_id}"
        data = request_id.encode() if spec.method == "POST" else None
        try:
            async with self._session.request(
                spec.method,
                url,
                headers=headers,
                data=data,
                timeout=aiohttp.ClientTimeout(total=left),
            ) as response:
                body = await response.read()
        except (TimeoutError, aiohttp.ClientError):
            return False, "unknown", 0
        outcome = response.headers.get("Rattanfork-Outcome", "answered")
        good = response.status == 200 and self._whole(body, request_id)
        in_time = monotonic() - began <= spec.timeout
        return good and in_time, outcome, response.status

    def _whole(self, body: bytes, request_id: str) -> bool:
        try:
            answer = json.loads(body)
        except ValueError:
            return False
        if answer.get("echo") != request_id:
            raise AssertionError("a caller got another caller's answer")
        return bool(answer.get("complete"))
