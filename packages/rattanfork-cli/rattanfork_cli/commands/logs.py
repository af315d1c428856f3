"""Commands that evaluate the logs of nodes."""

from typing import Annotated

import typer
from rattanfork_core.trace import count_reasons, parse_lines, trace_request

from rattanfork_cli.exits import BAD_INPUT, FAILED
from rattanfork_cli.log_files import LogFiles, format_time_of_day, read_log_lines
from rattanfork_cli.options import AsJson
from rattanfork_cli.output import fail, print_json, print_table

app = typer.Typer(no_args_is_help=True, help="Summarize the logs of nodes.")


def trace(
    request_id: Annotated[str, typer.Argument(help="ID of the request.")],
    files: LogFiles = None,
    as_json: AsJson = False,
) -> None:
    """Show the steps of a request and its calls, from the logs of nodes.

    Lines are sorted by the clock of the node that wrote them; clocks may differ
    by seconds.  Exit status 1 if no line mentions the request.

    Example: rattanfork trace 9c41d07be2a35f68 claims-1.log donors-2.log
    """
    steps = trace_request(request_id, parse_lines(read_log_lines(files)))
    if not steps:
        raise fail(
            f"no log line mentions request {request_id!r}; nodes drop log lines "
            "under load, see 'rattanfork logs summary'",
            FAILED,
        )
    if as_json:
        print_json(
            [
                {"at": s.at, "instance": s.instance, "depth": s.depth, "text": s.text}
                for s in steps
            ]
        )
        return
    for step in steps:
        indent = "  " * step.depth
        print(f"{format_time_of_day(step.at)}  {step.instance}  {indent}{step.text}")


@app.command()
def summary(
    files: LogFiles = None,
    every: Annotated[
        float, typer.Option(help="Length of a time span in seconds.")
    ] = 10.0,
    as_json: AsJson = False,
) -> None:
    """Count the outcomes of requests and runs by time span, route and reason.

    The number of log lines that nodes dropped under load follows at the end.

    Example: rattanfork logs summary --every 5 *.log
    """
    try:
        counts, left_out = count_reasons(parse_lines(read_log_lines(files)), every)
    except ValueError as error:
        raise fail(f"--every: {error}", BAD_INPUT) from None
    if as_json:
        entries = [{n: getattr(c, n) for n in c.__slots__} for c in counts]
        print_json({"counts": entries, "lines_left_out": left_out})
        return
    columns = ["from", "kind", "route", "outcome", "reason", "lines"]
    rows = [
        [format_time_of_day(c.begins), c.kind, c.route, c.outcome, c.reason, c.count]
        for c in counts
    ]
    print_table("Outcomes of requests", columns, rows)
    for kind, count in sorted(left_out.items()):
        print(f"lines left out, {kind}: {count}")
