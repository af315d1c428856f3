"""Command line of the runs of stopped nodes: a range of seeds, one after the other."""

import shutil
import tempfile
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from rattanfork_soak.exchange_record import GRACE_S
from rattanfork_soak.stop_site import StopSettings
from rattanfork_soak.stopped_nodes import EVENTS, StoppedNodes

EXIT_VIOLATIONS = 1


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds to run.")] = 1,
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    seconds: Annotated[
        float, typer.Option(help="Seconds during which planned work starts.")
    ] = 20.0,
    nodes: Annotated[int, typer.Option(help="Nodes of each of three services.")] = 2,
    slots: Annotated[int, typer.Option(help="Requests a worker serves at once.")] = 20,
    events: Annotated[
        str, typer.Option(help=f"Planned work, of {', '.join(EVENTS)}; all without.")
    ] = "",
    without: Annotated[str, typer.Option(help="Planned work to leave out.")] = "",
    interval: Annotated[float, typer.Option(help="Mean seconds between two.")] = 0.8,
    busy: Annotated[int, typer.Option(help="Busy processes beside the fleet.")] = 0,
    half_closing: Annotated[
        bool, typer.Option(help="Add clients that close their sending side.")
    ] = False,
    late_calls: Annotated[
        bool, typer.Option(help="Add long runs that make calls all the time.")
    ] = False,
    grace: Annotated[
        float, typer.Option(help="Seconds between SIGTERM and SIGKILL.")
    ] = GRACE_S,
) -> None:
    """Stop nodes under load; exit status 1 if an accepted request was lost.

    The plan, the violations and the logs of each seed with violations are kept.

    Example: python -m rattanfork_soak.stops --seeds 50 --events stop,reload
    """
    names = events.split(",") if events else list(EVENTS)
    drawn = tuple(name for name in names if name not in without.split(","))
    settings = StopSettings(
        seconds,
        nodes,
        slots,
        drawn,
        interval,
        busy,
        half_closing,
        late_calls,
        grace,
    )
    failed = sum(
        uvloop.run(_run_seed(seed, settings)) for seed in range(first, first + seeds)
    )
    raise typer.Exit(EXIT_VIOLATIONS if failed else 0)


async def _run_seed(seed: int, settings: StopSettings) -> bool:
    folder = Path(tempfile.mkdtemp(prefix=f"rattanfork-stops-{seed}-"))
    run = StoppedNodes(seed, settings, folder)
    violations = await run.run()
    counts = ", ".join(
        f"{v}: {count}" for v, count in sorted(run.report.verdicts.items())
    )
    print(
        f"seed {seed}: {len(violations)} violations, {run.requests} requests, "
        f"{run.stops} stops, longest stall {run.longest_stall:.2f} s ({counts})",
        flush=True,
    )
    if run.report.half_closed:
        print(f"  half-closed: {dict(run.report.half_closed)}", flush=True)
    if not (violations or run.report.failed):
        shutil.rmtree(folder)
        return False
    for kind, count in sorted(run.report.summary.items()):
        print(f"  {count} x {kind}", flush=True)
    (folder / "plan.txt").write_text("\n".join(run.plan) + "\n")
    (folder / "violations.txt").write_text("\n".join(violations) + "\n")
    print(f"  plan, violations and logs: {folder}", flush=True)
    (folder / "failed.txt").write_text("\n".join(run.report.failed) + "\n")
    return bool(violations)


if __name__ == "__main__":
    typer.run(main)
