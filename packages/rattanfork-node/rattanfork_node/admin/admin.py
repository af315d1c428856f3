"""HTTP interface of a node for operators and its upstream."""

from collections.abc import Callable

from aiohttp import web
from pydantic import ValidationError
from rattanfork_core.parsing import parse_whole_number
from rattanfork_core.request import Importance
from rattanfork_core.revision import RevisionState
from rattanfork_core.rules import RequestFacts, explain

from rattanfork_node.admin.announcement import Announcement
from rattanfork_node.admin.fleet import FleetSource
from rattanfork_node.telemetry.metrics import Metrics

#: Highest number of an attempt in a question about the rules.
_MAX_ATTEMPT = 1000


class Admin:
    """Admin HTTP server of a node.

    Parameters
    ==========

    rules : RevisionState
        Rules in force.
    metrics : Metrics
        Metrics of the node.
    status : callable
        Returns the state of the node.
    members : callable
        Returns the members of the fleet as this node sees them.
    fleet : FleetSource
        Reports that include other nodes.
    on_announcement : callable
        Handles an announcement of the upstream; may raise ValueError.
    on_drain : callable
        Starts draining the node.
    on_rules_change : callable
        Called when the rules in the store have changed.
    """

    def __init__(
        self,
        rules: RevisionState,
        metrics: Metrics,
        status: Callable[[], dict],
        members: Callable[[], list],
        fleet: FleetSource,
        on_announcement: Callable[[Announcement], None],
        on_drain: Callable[[], None],
        on_rules_change: Callable[[], None],
    ) -> None:
        self._rules = rules
        self._metrics = metrics
        self._status = status
        self._members = members
        self._fleet = fleet
        self._on_announcement = on_announcement
        self._on_drain = on_drain
        self._on_rules_change = on_rules_change
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening."""
        app = web.Application(client_max_size=64 << 10)
        app.router.add_get("/status", self._get_status)
        app.router.add_get("/members", self._get_members)
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/revisions", self._get_revisions)
        app.router.add_get("/burn", self._get_burn)
        app.router.add_get("/explain", self._get_explain)
        app.router.add_post("/announce", self._post_announce)
        app.router.add_post("/drain", self._post_drain)
        app.router.add_post("/news", self._post_news)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, reuse_address=True).start()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _get_status(self, _: web.Request) -> web.Response:
        return web.json_response(self._status())

    async def _get_members(self, _: web.Request) -> web.Response:
        return web.json_response(self._members())

    async def _get_metrics(self, _: web.Request) -> web.Response:
        return web.Response(
            text=self._metrics.as_json(), content_type="application/json"
        )

    async def _get_revisions(self, _: web.Request) -> web.Response:
        return web.json_response(await self._fleet.revisions())

    async def _get_burn(self, _: web.Request) -> web.Response:
        return web.json_response(await self._fleet.burn())

    async def _get_explain(self, request: web.Request) -> web.Response:
        try:
            facts = _parse_facts(request)
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)
        explanation = explain(self._rules.rules, facts)
        result = {
            "revision": self._rules.revision,
            "rule": explanation.rule.name if explanation.rule else None,
            "passed_over": [
                {"rule": name, "because": list(reasons)}
                for name, reasons in explanation.passed_over
            ],
        }
        return web.json_response(result)

    async def _post_announce(self, request: web.Request) -> web.Response:
        try:
            announcement = Announcement.model_validate_json(await request.read())
            self._on_announcement(announcement)
        except (ValidationError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response({"taken": True})

    async def _post_drain(self, _: web.Request) -> web.Response:
        self._on_drain()
        return web.json_response({"draining": True}, status=202)

    async def _post_news(self, _: web.Request) -> web.Response:
        self._on_rules_change()
        return web.json_response({"reading": True}, status=202)


def _parse_facts(request: web.Request) -> RequestFacts:
    query = request.query
    if "service" not in query or "operation" not in query:
        raise ValueError("service and operation are needed")
    return RequestFacts(
        query["service"],
        query["operation"],
        query.get("caller", ""),
        query.get("method", "GET").upper(),
        query.get("data_centre", ""),
        Importance.parse(query.get("importance", "normal")),
        _parse_load(query.get("load", "0")),
        parse_whole_number(query.get("attempt", "1"), 1, _MAX_ATTEMPT),
    )


def _parse_load(text: str) -> float:
    load = float(text)
    if not 0 <= load <= 1:
        raise ValueError(f"load: expected a number from 0 to 1, got {text!r}")
    return load
