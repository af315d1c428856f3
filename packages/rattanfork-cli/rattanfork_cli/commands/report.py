"""Reports."""

from pathlib import Path
from typing import Annotated

import typer
from rattanfork_core.burn import BurnLine, burn_report
from rattanfork_core.rules import ObjectiveModel
from rattanfork_core.trace import LossReport, count_losses, parse_lines

from rattanfork_cli.burn_page import burn_page
from rattanfork_cli.exits import BAD_INPUT, FAILED
from rattanfork_cli.http import ask_node
from rattanfork_cli.log_files import LogFiles, log_texts, time_of_day
from rattanfork_cli.options import AsJson, Node
from rattanfork_cli.output import fail, print_json, print_table

app = typer.Typer(no_args_is_help=True, help="Reports over the fleet.")


@app.command()
def burn(
    node: Node = "",
    metrics: Annotated[
        list[str] | None,
        typer.Option(help="Address of a node's metrics; once for each node."),
    ] = None,
    target: Annotated[
        float,
        typer.Option(
            help="With --metrics: share of requests to be answered in time.",
            min=0.0,
            max=0.999999,
        ),
    ] = 0.99,
    as_json: AsJson = False,
    html: Annotated[
        Path | None, typer.Option(help="Write a page with plots to this file.")
    ] = None,
) -> None:
    """Show how fast service-level objectives are spent.

    A burn of 1 spends the budget exactly by the end of the window.  With
    --node, objectives are those of the rules.  With --metrics, each route is an
    objective: callers' requests answered with success within its latency
    objective; the last column names the nodes that saw the others.

    Example: rattanfork report burn --html burn.html

    Example: rattanfork report burn --metrics 10.1.0.8:9464 --target 0.995
    """
    if metrics:
        lines, unknown = _by_routes(metrics, target)
    elif node:
        lines, unknown = _by_rules(node)
    else:
        raise fail("--node or --metrics is needed", BAD_INPUT)
    if html is not None:
        html.write_text(burn_page(lines, unknown))
    if as_json:
        print_json({"objectives": [_as_map(line) for line in lines], **unknown})
        return
    columns = ["service", "importance", "target", "requests"]
    columns += ["5m", "1h", "6h", "budget left", "gone in", "spent by"]
    if metrics:
        columns[0] = "route"
    print_table("Burn of objectives", columns, [_row(line) for line in lines])
    for key, value in unknown.items():
        print(f"{key}: {value}")


@app.command()
def losses(
    files: LogFiles = None,
    every: Annotated[float, typer.Option(help="Seconds of each span.")] = 1.0,
    as_json: AsJson = False,
    plot: Annotated[
        Path | None,
        typer.Option(help="Write a plot over time to this file; needs matplotlib."),
    ] = None,
) -> None:
    """Say why callers' requests were not answered whole and in their objective.

    Each such request counts once, at the node of its caller.  For those that
    were late, the mean time by part follows.  What nodes left out under load is
    counted at the end; it is lost to this report.

    Example: rattanfork report losses --every 5 --plot losses.png *.log
    """
    try:
        report = count_losses(parse_lines(log_texts(files)), every)
    except ValueError as error:
        raise fail(f"--every: {error}", BAD_INPUT) from None
    if plot is not None:
        _plot_losses(report, plot)
    if as_json:
        entries = [{n: getattr(x, n) for n in x.__slots__} for x in report.losses]
        rest = {n: getattr(report, n) for n in ("lost", "counted", "late", "left_out")}
        print_json({"losses": entries, **rest})
        return
    rows = [
        [time_of_day(x.begins), x.route, x.cause, x.place, x.count]
        for x in report.losses
    ]
    print_table(
        f"Lost requests: {report.lost}", ["from", "route", "cause", "at", "lost"], rows
    )
    for key, count in report.counted.items():
        print(f"counted by the nodes, {key}: {count}")
    for route, parts in report.late.items():
        told = ", ".join(f"{part} {seconds:.3f}" for part, seconds in parts.items())
        print(f"late on {route}, mean seconds: {told}")
    for kind, count in sorted(report.left_out.items()):
        print(f"lines left out, {kind}: {count}")


def _plot_losses(report: LossReport, path: Path) -> None:
    # Imported late: plots are an extra, and no other command needs them.
    try:
        from rattanfork_cli.loss_plot import draw_losses
    except ImportError:
        raise fail(
            "--plot needs matplotlib: pip install 'rattanfork-cli[plot]'", BAD_INPUT
        ) from None
    draw_losses(report, path)


def _by_rules(node: str) -> tuple[list[BurnLine], dict[str, object]]:
    answer = ask_node(node, "/burn")
    objectives = [ObjectiveModel(**entry) for entry in answer["objectives"]]
    lines = burn_report(objectives, [tuple(t) for t in answer["totals"]])
    return lines, _unknown(answer["answered"], answer["members"])


def _by_routes(
    addresses: list[str], target: float
) -> tuple[list[BurnLine], dict[str, object]]:
    # Imported late: the parser of metrics is needed here only.
    from rattanfork_cli.scraped import scrape_objectives

    totals, silent = scrape_objectives(addresses)
    if len(silent) == len(addresses):
        raise fail(f"no metrics from {', '.join(silent)}", FAILED)
    routes = sorted({entry[0] for entry in totals})
    objectives = [ObjectiveModel(service=name, target=target) for name in routes]
    unknown = _unknown(len(addresses) - len(silent), len(addresses))
    if silent:
        unknown["did not answer"] = ", ".join(silent)
    return burn_report(objectives, totals), unknown


def _unknown(answered: int, asked: int) -> dict[str, object]:
    return {
        "nodes counted": f"{answered} of {asked}",
        "not known": (
            "what nodes that were replaced or did not answer had seen, and "
            "requests that reached no node"
        ),
    }


def _row(line: BurnLine) -> list[object]:
    gone = "-" if line.exhausted_in is None else f"{line.exhausted_in / 3600:.1f} h"
    spent = ", ".join(f"{rule or 'no rule'} {n}" for rule, n in line.spenders)
    return [
        line.service,
        line.importance,
        f"{line.target:.3%}",
        line.requests,
        *(f"{rate:.2f}" for rate in line.burn),
        f"{line.budget_left:.1%}",
        gone,
        spent or "-",
    ]


def _as_map(line: BurnLine) -> dict[str, object]:
    return {name: getattr(line, name) for name in BurnLine.__slots__}
