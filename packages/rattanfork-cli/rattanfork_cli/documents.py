"""Reads and validates the YAML documents that operators pass to commands."""

import sys
from pathlib import Path
from typing import TypeVar

import typer
import yaml
from rattanfork_core.rules import FindingsError, RulesDocument, load_yaml_model
from rattanfork_core.settings import NodeSettings

from rattanfork_cli.exits import BAD_INPUT
from rattanfork_cli.output import fail

Model = TypeVar("Model", RulesDocument, NodeSettings)


def read_text(path: Path) -> str:
    """Return the text of a file.

    Raises
    ======

    typer.Exit
        If it cannot be read; the error message names the file.
    """
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise fail(f"cannot read {path}: {error}", BAD_INPUT) from None


def load_or_exit(text: str, model: type[Model], source: str) -> Model:
    """Return a validated document.

    Raises
    ======

    typer.Exit
        If it is invalid; each finding is printed with its line and column.
    """
    try:
        return load_yaml_model(text, model, source)
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        raise typer.Exit(BAD_INPUT) from None


def dump_rules(document: RulesDocument) -> str:
    """Return rules as YAML, without fields that have their default value."""
    data = document.model_dump(exclude_defaults=True)
    return yaml.safe_dump(data, sort_keys=False)
