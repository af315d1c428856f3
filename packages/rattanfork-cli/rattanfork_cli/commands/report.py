"""Reports."""

from pathlib import Path
from typing import Annotated

import typer
from rattanfork_core.burn import BurnLine, burn_report
from rattanfork_core.rules import ObjectiveModel

from rattanfork_cli.burn_page import burn_page
from rattanfork_cli.http import ask_node
from rattanfork_cli.options import AsJson, Node
from rattanfork_cli.output import print_json, print_table

app = typer.Typer(no_args_is_help=True, help="Reports over the fleet.")


@app.command()
def burn(
    node: Node,
    as_json: AsJson = False,
    html: Annotated[
        Path | None, typer.Option(help="Write a page with plots to this file.")
    ] = None,
) -> None:
    """Show how fast service-level objectives are spent.

    Objectives stand in the rules.  A burn of 1 spends the budget exactly by
    the end of the window.

    Example: rattanfork report burn --html burn.html
    """
    answer = ask_node(node, "/burn")
    objectives = [ObjectiveModel(**entry) for entry in answer["objectives"]]
    lines = burn_report(objectives, [tuple(t) for t in answer["totals"]])
    unknown = _unknown(answer)
    if html is not None:
        html.write_text(burn_page(lines, unknown))
    if as_json:
        print_json({"objectives": [_as_map(line) for line in lines], **unknown})
        return
    columns = ["service", "importance", "target", "requests"]
    columns += ["5m", "1h", "6h", "budget left", "gone in", "spent by"]
    print_table("Burn of objectives", columns, [_row(line) for line in lines])
    for key, value in unknown.items():
        print(f"{key}: {value}")


def _unknown(answer: dict) -> dict[str, object]:
    return {
        "nodes counted": f"{answer['answered']} of {answer['members']}",
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
