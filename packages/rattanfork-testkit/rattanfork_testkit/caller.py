"""Open-loop load generator that acts as the callers of a deployment."""

import asyncio
import json
from dataclasses import dataclass, field
from random import Random
from time import monotonic

import aiohttp


@dataclass(slots=True)
class LoadSpec:
    """A kind of request, its rate, and how callers retry it.

    Parameters
    ==========

    path : str
        Target, as SERVICE/OPERATION.
    rate : float
        Requests per second, independent of the progress of earlier ones.
    timeout : float
        Seconds within which the caller needs the response.
    attempt_timeout : float
        Time limit of one attempt in seconds; 0 for all of ``timeout``.
    retries : int
        Most retries after a failure; callers do not honour Retry-After.
    retry_unsafe : bool
        Whether a POST is retried although it may have run.
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
    """Result of one request, and the number of attempts it took (``tries``)."""

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
    """Results of requests, as the callers observed them."""

    samples: list[Sample] = field(default_factory=list)

    def by_name(self, name: str) -> list[Sample]:
        """Return the samples of one kind of request."""
        return [sample for sample in self.samples if sample.name == name]

    def succeeded_ids(self) -> set[str]:
        """Return the IDs of requests with a complete response in time."""
        return {sample.request_id for sample in self.samples if sample.succeeded}


class OpenLoopCaller:
    """Sends requests at given rates, whether or not earlier ones have completed.

    Parameters
    ==========

    edge_urls : list of str
        Base URLs for callers; each attempt uses one at random.
    seed : int
        Seed of arrival times, request IDs and choices of a URL.
    direct : bool
        Whether callers reach the upstreams without a node in between.
    """

    def __init__(
        self, edge_urls: list[str], seed: int = 1, direct: bool = False
    ) -> None:
        self._edge_urls = edge_urls
        self._random = Random(seed)
        self._direct = direct
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task] = set()
        self._stats = CallerStats()
        self._rates: dict[str, float] = {}

    @property
    def stats(self) -> CallerStats:
        """Results of the requests completed so far."""
        return self._stats

    def set_rate(self, name: str, rate: float) -> None:
        """Change the rate of one kind of request during a run."""
        self._rates[name] = rate

    async def run(self, specs: list[LoadSpec], seconds: float) -> CallerStats:
        """Send requests for some seconds, then wait for those in flight."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as self._session:
            self._rates.update({spec.name: spec.rate for spec in specs})
            end = monotonic() + seconds
            await asyncio.gather(*(self._send_at_rate(spec, end) for spec in specs))
            if self._tasks:
                await asyncio.wait(self._tasks, timeout=15)
        return self._stats

    async def _send_at_rate(self, spec: LoadSpec, end: float) -> None:
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
            task = asyncio.ensure_future(self._send_with_retries(spec))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_with_retries(self, spec: LoadSpec) -> None:
        request_id = f"{self._random.getrandbits(128):032x}"
        began = monotonic()
        succeeded, outcome, status, attempts = False, "unknown", 0, 0
        while attempts <= spec.retries and monotonic() - began < spec.timeout:
            attempts += 1
            succeeded, outcome, status = await self._send_attempt(
                spec, request_id, began, attempts
            )
            safe_post = spec.method == "POST" and not spec.retry_unsafe
            if succeeded or (safe_post and outcome != "not-run"):
                break
            # Retry without back-off; the pause stands for the processing of a client.
            await asyncio.sleep(0.02)
        took = monotonic() - began
        self._stats.samples.append(
            Sample(
                spec.name, request_id, began, took, succeeded, outcome, status, attempts
            )
        )

    async def _send_attempt(
        self, spec: LoadSpec, request_id: str, began: float, number: int
    ) -> tuple[bool, str, int]:
        left = spec.timeout - (monotonic() - began)
        if spec.attempt_timeout:
            left = min(left, spec.attempt_timeout)
        edge_url = self._random.choice(self._edge_urls)
        headers = {
            "Rattanfork-Request-Id": request_id,
            "Rattanfork-Importance": spec.importance,
            "Rattanfork-Caller": f"caller-{hash(request_id) % 1000}",
            "Rattanfork-Timeout-Ms": str(max(1, int(left * 1000))),
            "Rattanfork-Attempt": str(number),
        }
        url = f"{edge_url}/{spec.path}?echo={request_id}"
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
        succeeded = response.status == 200 and self._is_complete(body, request_id)
        in_time = monotonic() - began <= spec.timeout
        return succeeded and in_time, outcome, response.status

    def _is_complete(self, body: bytes, request_id: str) -> bool:
        try:
            answer = json.loads(body)
        except ValueError:
            return False
        if answer.get("echo") != request_id:
            raise AssertionError("response belongs to the request of another caller")
        return bool(answer.get("complete"))
