"""Options and arguments shared by several commands."""

from pathlib import Path
from typing import Annotated

import typer

Node = Annotated[
    str,
    typer.Option(envvar="RATTANFORK_NODE", help="Admin address of a node, as IP:PORT."),
]
Platform = Annotated[
    str,
    typer.Option(envvar="RATTANFORK_PLATFORM", help="URL of the platform."),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Author = Annotated[
    str, typer.Option(envvar="USER", help="Author of the change, kept in the history.")
]
Comment = Annotated[
    str,
    typer.Option("--comment", "-m", help="Reason for the change, kept in the history."),
]
File = Annotated[Path, typer.Argument(help="YAML file.")]
