"""Runs soaks, one seed after another."""

import asyncio
import shutil
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer
import uvloop

from rattanfork_soak.soak import Soak, SoakSettings

FOUND = 1


def main(
    seeds: Annotated[int, typer.Option(help="How many seeds to play.")] = 1,
    first: Annotated[
        int, typer.Option(help="First seed; by default one drawn from the time.")
    ] = 0,
    seconds: Annotated[float, typer.Option(help="Time in which faults begin.")] = 20.0,
    nodes: Annotated[int, typer.Option(help="Nodes, each with a worker.")] = 4,
    side_by_side: Annotated[int, typer.Option(help="Soaks at once.")] = 1,
) -> None:
    """Run soaks; exit status 1 if a promise was seen broken.

    The logs and the plan of a seed that found something are kept.

    Example: python -m rattanfork_soak --seeds 50 --first 1
    """
    first = first or time.time_ns() // 1_000_000 % 1_000_000_000
    settings = SoakSettings(seconds=seconds, nodes=nodes)
    found = uvloop.run(_run(range(first, first + seeds), settings, side_by_side))
    raise typer.Exit(FOUND if found else 0)


async def _run(seeds: range, settings: SoakSettings, side_by_side: int) -> int:
    room = asyncio.Semaphore(side_by_side)

    async def one(seed: int) -> int:
        async with room:
            return await _play(seed, settings)

    return sum(await asyncio.gather(*map(one, seeds)))


async def _play(seed: int, settings: SoakSettings) -> int:
    folder = Path(tempfile.mkdtemp(prefix=f"rattanfork-soak-{seed}-"))
    soak = Soak(seed, settings, folder)
    findings = await soak.run()
    print(
        f"seed {seed}: {len(findings)} findings, {soak.requests} requests, "
        f"{len(soak.plan)} faults",
        flush=True,
    )
    if not findings:
        shutil.rmtree(folder)
        return 0
    for finding in findings[:10]:
        print(f"  {finding}", flush=True)
    (folder / "plan.txt").write_text("\n".join(soak.plan) + "\n")
    print(f"  plan and logs: {folder}", flush=True)
    return 1


if __name__ == "__main__":
    typer.run(main)
