"""Command line of the soak: runs a range of seeds."""

import asyncio
import shutil
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from rattanfork_soak.soak import Soak, SoakSettings

EXIT_VIOLATIONS = 1


def main(
    seeds: Annotated[int, typer.Option(help="Number of seeds to run.")] = 1,
    first: Annotated[
        int, typer.Option(help="First seed; 0 draws one from the time.")
    ] = 0,
    seconds: Annotated[
        float, typer.Option(help="Seconds during which faults start.")
    ] = 20.0,
    nodes: Annotated[
        int, typer.Option(help="Number of nodes, each with a worker.")
    ] = 4,
    side_by_side: Annotated[
        int, typer.Option(help="Number of soaks to run at once.")
    ] = 1,
) -> None:
    """Run soaks; exit status 1 if any invariant was violated.

    The logs and the fault plan of each seed with violations are kept.

    Example: python -m rattanfork_soak --seeds 50 --first 1
    """
    first = first or time.time_ns() // 1_000_000 % 1_000_000_000
    settings = SoakSettings(seconds=seconds, nodes=nodes)
    failed_seeds = uvloop.run(_run(range(first, first + seeds), settings, side_by_side))
    raise typer.Exit(EXIT_VIOLATIONS if failed_seeds else 0)


async def _run(seeds: range, settings: SoakSettings, side_by_side: int) -> int:
    slots = asyncio.Semaphore(side_by_side)

    async def run_in_slot(seed: int) -> int:
        async with slots:
            return await _run_seed(seed, settings)

    return sum(await asyncio.gather(*map(run_in_slot, seeds)))


async def _run_seed(seed: int, settings: SoakSettings) -> int:
    folder = Path(tempfile.mkdtemp(prefix=f"rattanfork-soak-{seed}-"))
    soak = Soak(seed, settings, folder)
    violations = await soak.run()
    print(
        f"seed {seed}: {len(violations)} findings, {soak.requests} requests, "
        f"{len(soak.plan)} faults",
        flush=True,
    )
    if not violations:
        shutil.rmtree(folder)
        return 0
    for violation in violations[:10]:
        print(f"  {violation}", flush=True)
    (folder / "plan.txt").write_text("\n".join(soak.plan) + "\n")
    print(f"  plan and logs: {folder}", flush=True)
    return 1


if __name__ == "__main__":
    typer.run(main)
