"""Call path: HTTP server for callers and for this node's upstream."""

import asyncio
import json
from random import Random

from aiohttp import web
from rattanfork_core.clock import Clock
from rattanfork_core.connections import ResponseBudget, ResponseHolder
from rattanfork_core.parsing import parse_whole_number
from rattanfork_core.request import CallResult, Outcome, Reason
from rattanfork_core.settings import LimitSettings

from rattanfork_node.call_ingress import CallIngress, IncomingRequest
from rattanfork_node.edge import headers as names
from rattanfork_node.edge.parse import BadRequestError, parse_request
from rattanfork_node.edge.render import render_result
from rattanfork_node.telemetry import Counters, counting_logger
from rattanfork_node.telemetry.metrics import Metrics

#: Path of requests for idempotency keys.
_KEYS_PATH = "/rattanfork/keys"
#: Maximum keys issued for one request.
_MAX_KEYS = 100
#: Maximum size of the request line and of a header field.
_MAX_LINE_BYTES = 16_384
#: Bytes of all request bodies, and of all responses that callers have not read.
_MAX_HELD_BYTES = 64 << 20
#: Reasons for a refusal before the end of a body.
_UNREAD_BODY_REASONS = frozenset((Reason.TOO_LARGE, Reason.NO_BODY_ROOM))


class _UnreadResponse(ResponseHolder):
    """A response that is being sent to its caller.

    Parameters
    ==========

    request : aiohttp.web.BaseRequest
        The request that it answers.
    """

    def __init__(self, request: web.BaseRequest) -> None:
        self._request = request

    def evict(self) -> None:
        """Abort the connection of the caller."""
        if self._request.transport is not None:
            self._request.transport.abort()


class CallServer:
    """HTTP server of the call path, for callers and this node's upstream.

    Explanation
    ===========

    While the node drains, requests of callers are refused.  Child calls are still
    served, also on new connections, so that runs in progress can complete.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Generates request IDs.
    ingress : CallIngress
        Runs the parsed requests.
    limits : LimitSettings
        Maximum number of concurrent requests, and maximum size of a body.
    counters : Counters
        Counts refusals and disconnects.
    metrics : Metrics
        Records the durations of callers' requests.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        ingress: CallIngress,
        limits: LimitSettings,
        counters: Counters,
        metrics: Metrics,
    ) -> None:
        self._clock = clock
        self._random = random
        self._ingress = ingress
        self._limits = limits
        self._counters = counters
        self._metrics = metrics
        self._in_flight = 0
        #: Responses that are being sent; they take no place of a request.
        self._sending = 0
        self._body_bytes = 0
        self._unread = ResponseBudget(_MAX_HELD_BYTES, clock=clock)
        self._draining = False
        self._server: web.Server | None = None
        self._listener: asyncio.Server | None = None

    @property
    def in_flight(self) -> int:
        """Number of requests being served, and of responses being sent."""
        return self._in_flight + self._sending

    async def start(self, host: str, port: int) -> None:
        """Start listening.

        Raises
        ======

        OSError
            If the address can't be bound.
        """
        self._server = web.Server(
            self._handle,
            access_log=None,
            logger=counting_logger(self._counters),
            handler_cancellation=True,
            keepalive_timeout=75,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_LINE_BYTES,
        )
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, host, port, backlog=1024
        )

    def drain(self) -> None:
        """Refuse new requests of callers."""
        self._draining = True

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self.drain()
        if self._listener is not None:
            self._listener.close()
        if self._server is not None:
            await self._server.shutdown(0.5)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if self._in_flight >= self._limits.requests:
            return self._refuse(Reason.SHED, "")
        self._in_flight += 1
        try:
            response = await self._serve_request(request)
        except asyncio.CancelledError:
            self._counters.events["caller.left"] += 1
            raise
        finally:
            self._in_flight -= 1
        return await self._send(request, response)

    async def _send(
        self, request: web.BaseRequest, response: web.Response
    ) -> web.Response:
        """Send a response, which counts as unread until its caller has read it."""
        unread = _UnreadResponse(request)
        self._sending += 1
        self._unread.hold(unread, len(response.body or b""))
        try:
            await response.prepare(request)
            await response.write_eof()
        finally:
            self._sending -= 1
            self._unread.release(unread)
        return response

    async def _serve_request(self, request: web.BaseRequest) -> web.StreamResponse:
        started_at = self._clock.now()
        length = request.content_length
        if length is not None and length > self._limits.body:
            return self._refuse(Reason.TOO_LARGE, "")
        if request.path == _KEYS_PATH:
            return await self._issue_keys(request)
        body = bytearray()
        try:
            if request.body_exists:
                reason = await self._read_body(request, body)
                if reason is not Reason.NONE:
                    return self._refuse(reason, "")
            return await self._serve_body(request, bytes(body), started_at)
        finally:
            self._body_bytes -= len(body)

    async def _serve_body(
        self, request: web.BaseRequest, body: bytes, started_at: float
    ) -> web.StreamResponse:
        try:
            incoming = parse_request(request, body, self._random)
        except BadRequestError as error:
            self._counters.events["bad.http"] += 1
            return self._bad_request(str(error))
        if self._draining and not incoming.context:
            return self._refuse(Reason.LEAVING, incoming.request_id)
        result = await self._run(incoming)
        if not incoming.context:
            duration = self._clock.now() - started_at
            self._metrics.record_duration(incoming.service, duration)
        response = render_result(result, incoming.request_id)
        if self._draining:
            response.force_close()
        return response

    async def _run(self, incoming: IncomingRequest) -> CallResult:
        try:
            return await self._ingress.serve(incoming)
        except asyncio.CancelledError:
            if not incoming.context or asyncio.current_task().uncancel() > 0:
                raise
            # The parent run has ended and cancelled this child call.  The
            # connection may still be open, so it needs a response.
            return CallResult(Outcome.UNKNOWN, Reason.CANCELLED)

    async def _read_body(self, request: web.BaseRequest, body: bytearray) -> Reason:
        """Read a body; return why its request is refused."""
        async for chunk in request.content.iter_any():
            body += chunk
            self._body_bytes += len(chunk)
            if len(body) > self._limits.body:
                return Reason.TOO_LARGE
            if self._body_bytes > _MAX_HELD_BYTES:
                return Reason.NO_BODY_ROOM
        return Reason.NONE

    async def _issue_keys(self, request: web.BaseRequest) -> web.Response:
        service = request.query.get("service", "")
        if request.method != "POST" or not service:
            return self._bad_request(f"POST {_KEYS_PATH}?service=NAME&count=N")
        try:
            count = parse_whole_number(request.query.get("count", "1"), 1, _MAX_KEYS)
        except ValueError as error:
            return self._bad_request(f"count: {error}")
        keys = await self._ingress.issue_keys(service, count)
        if not keys:
            return self._refuse(Reason.NO_INSTANCE, "")
        return web.Response(
            text=json.dumps({"keys": keys}) + "\n", content_type="application/json"
        )

    def _bad_request(self, message: str) -> web.Response:
        return web.Response(
            status=400,
            text=f"not-run: bad-request: {message}\n",
            headers={
                names.OUTCOME: Outcome.NOT_RUN.label,
                names.REASON: Reason.BAD_REQUEST.label,
            },
        )

    def _refuse(self, reason: Reason, request_id: str) -> web.Response:
        self._counters.events[f"edge.{reason.label}"] += 1
        result = CallResult(Outcome.NOT_RUN, reason, retry_after=1.0)
        response = render_result(result, request_id)
        if reason in _UNREAD_BODY_REASONS or self._draining:
            response.force_close()
        return response
