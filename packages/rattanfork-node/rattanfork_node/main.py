"""Entry point of the ``rattanfork-node`` command."""

import asyncio
import gc
import signal
import sys
from pathlib import Path
from typing import Annotated

import typer
import uvloop
from rattanfork_core.rules import FindingsError
from rattanfork_core.settings import NodeSettings, load_settings

from rattanfork_node.app.node import Node
from rattanfork_node.telemetry import start_log

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3

app = typer.Typer(add_completion=True, pretty_exceptions_enable=False)


@app.command()
def run(
    settings: Annotated[
        Path, typer.Option("--settings", help="YAML settings of this node.")
    ],
) -> None:
    """Run the node beside an upstream instance.

    SIGTERM drains: no new work, all in flight finishes, exit status 0.  A
    second SIGTERM, or the drain limit, stops at once with status 1.  Bad
    settings give status 2 and start nothing; a port that cannot be had, 3.

    Example: rattanfork-node --settings claims-1.yaml
    """
    try:
        checked = load_settings(settings.read_text(), str(settings))
        start_log(checked.telemetry.log, checked.instance)
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        raise typer.Exit(EXIT_BAD_SETTINGS) from None
    except (OSError, UnicodeDecodeError) as error:
        print(f"{settings}: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_BAD_SETTINGS) from None
    try:
        status = uvloop.run(_run(checked))
    except OSError as error:
        print(f"{settings}: cannot start: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_CANNOT_START) from None
    raise typer.Exit(status)


#: Allocations between two garbage collections of the youngest generation.
_GC_THRESHOLD = 50_000


async def _run(settings: NodeSettings) -> int:
    node = Node(settings)
    # A full garbage collection traverses all objects of the loaded libraries and
    # delays every request meanwhile.  These objects live as long as the process, so
    # they are excluded.
    gc.collect()
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD, 20, 100)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.drain)
    return await node.run()


if __name__ == "__main__":
    app()
