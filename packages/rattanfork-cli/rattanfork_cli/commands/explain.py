"""The command ``explain``, which shows how a request would be handled."""

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

#: Effect of client accounts on the order in which requests are shed.
_FAIR_SHARE = (
    "while its services shed this importance, client accounts get fair shares "
    "(gauges rattanfork_fair_share_*, field fair_share of request lines)"
)


def explain_request(
    host: Annotated[str, typer.Argument(help="Host of the request.")],
    path: Annotated[str, typer.Argument(help="Path of the request.")],
    platform: Platform,
    method: str = "GET",
    caller: Annotated[str, typer.Option(help="Service of the caller.")] = "",
    data_centre: Annotated[str, typer.Option(help="Data centre of the caller.")] = "",
    load: Annotated[
        float, typer.Option(help="Load: 0 admits all requests, 1 none.")
    ] = 0.0,
    as_json: AsJson = False,
) -> None:
    """Show the route and the rule that apply to a request, and their effect.

    The accepted routes and rules are read from the platform.  Exit status 1 if no
    route matches the request.

    Example: rattanfork explain shop.example /receipts/7 --caller claims
    """
    configuration, record = _read_platform(platform)
    route = None
    if configuration is not None:
        route = configuration.table.find(host.lower(), path.partition("?")[0])
    if route is None:
        version = configuration.version if configuration is not None else 0
        raise fail(f"configuration {version}: no route matches {host}{path}", FAILED)
    rules = load_rules(record.text, f"revision {record.revision}")
    results = []
    for share in route.services:
        facts = route_facts(route, share.service, method, caller, data_centre, load)
        explanation = explain(rules, facts)
        results.append(
            (share.service, explanation, apply_rule(route, explanation.rule))
        )
    if as_json:
        print_json(
            {
                "configuration": configuration.version,
                "revision": record.revision,
                "route": route.name,
                "fair_share": configuration.accounts is not None,
                "services": {s: _to_json(e, d) for s, e, d in results},
            }
        )
        return
    _print_text(configuration, record, route, results)


def _read_platform(url: str) -> tuple[Configuration | None, RulesRecord]:
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
        raise fail(
            f"the platform does not respond: {error}; check --platform", FAILED
        ) from None
    except ValueError as error:
        raise fail(str(error), BAD_INPUT) from None


def _print_text(
    configuration: Configuration,
    record: RulesRecord,
    route: Route,
    results: list[tuple[str, Explanation, RouteDecision]],
) -> None:
    print(f"configuration {configuration.version}: route {route.name}")
    print(f"  {route.host}{route.prefix}, {_describe_idempotence(route)}")
    if configuration.accounts is not None:
        print(f"  {_FAIR_SHARE}")
    total = sum(share.weight for share in route.services)
    for share, (service, explanation, decision) in zip(
        route.services, results, strict=True
    ):
        print(f"  service {service}, {share.weight / total:.0%} of the requests")
        for name, failures in explanation.passed_over:
            print(f"    passed over {name}: {'; '.join(failures)}")
        print(f"    revision {record.revision}: {_describe_rule(decision)}")
        print(f"    {_describe_effect(decision)}")


def _describe_idempotence(route: Route) -> str:
    return "idempotent" if route.idempotent else "not idempotent"


def _describe_rule(decision: RouteDecision) -> str:
    return (
        "no rule matches; the route applies"
        if decision.rule == "-"
        else f"rule {decision.rule}"
    )


def _describe_effect(decision: RouteDecision) -> str:
    if decision.refuse_after is not None:
        return f"refused with Retry-After {decision.refuse_after:g} s"
    route = decision.route
    place = f", only in {decision.data_centre}" if decision.data_centre else ""
    return (
        f"importance {route.priority}, {route.timeout:g} s, at most "
        f"{route.most_upstreams} instances, {_describe_idempotence(route)}{place}"
    )


def _to_json(explanation: Explanation, decision: RouteDecision) -> dict[str, object]:
    route = decision.route
    return {
        "rule": None if decision.rule == "-" else decision.rule,
        "passed_over": [
            {"rule": name, "because": list(failures)}
            for name, failures in explanation.passed_over
        ],
        "refuse_after": decision.refuse_after,
        "importance": route.priority,
        "timeout": route.timeout,
        "most_upstreams": route.most_upstreams,
        "idempotent": route.idempotent,
        "data_centre": decision.data_centre,
    }
