"""Options that several commands take."""

from pathlib import Path
from typing import Annotated

import typer

Node = Annotated[
    str,
    typer.Option(
        envvar="RATTANFORK_NODE", help="Admin address of any node, as IP:PORT."
    ),
]
Platform = Annotated[
    str,
    typer.Option(envvar="RATTANFORK_PLATFORM", help="URL of the platform."),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON, for scripts.")]
Author = Annotated[
    str, typer.Option(envvar="USER", help="Who makes the change, for the history.")
]
Comment = Annotated[str, typer.Option("--comment", "-m", help="Why.")]
File = Annotated[Path, typer.Argument(help="A YAML document.")]
