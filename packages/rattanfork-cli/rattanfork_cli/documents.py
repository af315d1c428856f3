"""Documents that operators hand in."""

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
    """Return the text of a file; exit with one line if it can't be read."""
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise fail(f"{path}: {error}", BAD_INPUT) from None


def load_or_exit(text: str, model: type[Model], source: str) -> Model:
    """Return a checked document; print all findings and exit if it has any."""
    try:
        return load_yaml_model(text, model, source)
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        raise typer.Exit(BAD_INPUT) from None


def dump_rules(document: RulesDocument) -> str:
    """Return rules as YAML, without what was left at its default."""
    data = document.model_dump(exclude_defaults=True)
    return yaml.safe_dump(data, sort_keys=False)
