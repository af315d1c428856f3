"""The command that tells how a request would be treated."""

import asyncio
from typing import Annotated

import typer
from rattanfork_core.revision import RulesRecord
from rattanfork_core.routes import Configuration, Route
from rattanfork_core.rules import (
    Explanation,
    RouteDecision,
    apply_rule,
    explain,
    load_rules,
    route_facts,
)
from rattanfork_platform import PlatformDownError
from rattanfork_platform.connect import connect_platform, read_configuration

from rattanfork_cli.exits import BAD_INPUT, FAILED
from rattanfork_cli.options import AsJson, Platform
from rattanfork_cli.output import fail, print_json
from rattanfork_cli.rules_store import RulesStore


def explain_request(
    host: Annotated[str, typer.Argument(help="Host that the request names.")],
    path: Annotated[str, typer.Argument(help="Its path.")],
    platform: Platform,
    method: str = "GET",
    caller: Annotated[str, typer.Option(help="Service that the caller is of.")] = "",
    data_centre: Annotated[str, typer.Option(help="Where the caller is.")] = "",
    load: Annotated[float, typer.Option(help="Pressure: 0 for none, 1 for all.")] = 0.0,
    as_json: AsJson = False,
) -> None:
    """Show which route takes a request, which rule decides it, and the outcome.

    Both are read from the platform, as accepted.  Exit status 1 if no route
    takes the request.

    Example: rattanfork explain shop.example /receipts/7 --caller claims
    """
    configuration, record = _read(platform)
    route = None
    if configuration is not None:
        route = configuration.table.find(host.lower(), path.partition("?")[0])
    if route is None:
        version = configuration.version if configuration is not None else 0
        raise fail(f"configuration {version}: no route takes {host}{path}", FAILED)
    rules = load_rules(record.text, f"revision {record.revision}")
    answers = []
    for share in route.services:
        facts = route_facts(route, share.service, method, caller, data_centre, load)
        found = explain(rules, facts)
        answers.append((share.service, found, apply_rule(route, found.rule)))
    if as_json:
        print_json(
            {
                "configuration": configuration.version,
                "revision": record.revision,
                "route": route.name,
                "services": {s: _as_map(f, r) for s, f, r in answers},
            }
        )
        return
    _print(configuration, record, route, answers)


def _read(url: str) -> tuple[Configuration | None, RulesRecord]:
    async def read() -> tuple[Configuration | None, RulesRecord]:
        platform = connect_platform(url)
        try:
            configuration = await read_configuration(url, platform)
            return configuration, (await RulesStore(platform).head())[1]
        finally:
            await platform.close()

    try:
        return asyncio.run(read())
    except PlatformDownError as error:
        raise fail(f"the platform does not answer: {error}", FAILED) from None
    except ValueError as error:
        raise fail(str(error), BAD_INPUT) from None


def _print(
    configuration: Configuration,
    record: RulesRecord,
    route: Route,
    answers: list[tuple[str, Explanation, RouteDecision]],
) -> None:
    print(f"configuration {configuration.version}: route {route.name}")
    print(f"  {route.host}{route.prefix}, {_kind(route)}")
    total = sum(share.weight for share in route.services)
    for share, (service, found, ruling) in zip(route.services, answers, strict=True):
        print(f"  service {service}, {share.weight / total:.0%} of the requests")
        for name, failures in found.passed_over:
            print(f"    passed over {name}: {'; '.join(failures)}")
        print(f"    revision {record.revision}: {_rule(ruling)}")
        print(f"    {_treatment(ruling)}")


def _kind(route: Route) -> str:
    return "idempotent" if route.idempotent else "not idempotent"


def _rule(ruling: RouteDecision) -> str:
    return "no rule; the route holds" if ruling.rule == "-" else f"rule {ruling.rule}"


def _treatment(ruling: RouteDecision) -> str:
    if ruling.refuse_after is not None:
        return f"refused, to come back after {ruling.refuse_after:g} s"
    route = ruling.route
    place = f", only in {ruling.data_centre}" if ruling.data_centre else ""
    return (
        f"importance {route.priority}, {route.timeout:g} s, at most "
        f"{route.most_upstreams} instances, {_kind(route)}{place}"
    )


def _as_map(found: Explanation, ruling: RouteDecision) -> dict[str, object]:
    route = ruling.route
    return {
        "rule": None if ruling.rule == "-" else ruling.rule,
        "passed_over": [
            {"rule": name, "because": list(failures)}
            for name, failures in found.passed_over
        ],
        "refuse_after": ruling.refuse_after,
        "importance": route.priority,
        "timeout": route.timeout,
        "most_upstreams": route.most_upstreams,
        "idempotent": route.idempotent,
        "data_centre": ruling.data_centre,
    }
