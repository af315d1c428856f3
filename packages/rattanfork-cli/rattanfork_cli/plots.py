"""Writes the charts of reports; matplotlib is an optional dependency."""

from collections.abc import Callable
from pathlib import Path

from rattanfork_cli.exits import BAD_INPUT
from rattanfork_cli.output import fail


def write_plot(
    path: Path, load_plotter: Callable[[], Callable[..., None]], *arguments: object
) -> None:
    """Write a chart to a file.

    Parameters
    ==========

    path : Path
        The file; its extension determines the image format.
    load_plotter : callable
        Imports and returns the function that plots; it takes the arguments and the
        path.
    arguments : object
        What to plot.

    Raises
    ======

    typer.Exit
        If matplotlib is missing or the file can't be written.
    """
    try:
        plotter = load_plotter()
    except ImportError:
        raise fail(
            "--plot needs matplotlib: pip install 'rattanfork-cli[plot]'", BAD_INPUT
        ) from None
    try:
        plotter(*arguments, path)
    except ValueError as error:
        raise fail(f"--plot {path}: {error}", BAD_INPUT) from None
    except OSError as error:
        raise fail(f"--plot {path}: {error.strerror}", BAD_INPUT) from None
