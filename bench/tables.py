"""Prints the saved results of the benchmarks as Markdown tables for docs/."""

import json
from pathlib import Path

FOLDER = Path(__file__).parent.parent / "docs" / "measurements"


def table(columns: list[str], rows: list[list[object]]) -> str:
    """Return a Markdown table."""
    lines = [columns, ["---"] * len(columns), *rows]
    return "\n".join(f"| {' | '.join(str(c) for c in line)} |" for line in lines)


def surge(data: dict) -> str:
    """Return the results of ``surge.py``, one row for each scenario and system."""
    rows = []
    for system, scenarios in data["results"].items():
        for name, r in scenarios.items():
            kinds = r["by_kind"]
            rows.append(
                [
                    name,
                    system,
                    r["offered"],
                    f"{r['goodput']} ({r['goodput_share']:.2f})",
                    f"{kinds['file']:.3f}",
                    f"{kinds['view']:.3f}",
                    f"{kinds['browse']:.3f}",
                    f"{r['amplification']:.2f}",
                    f"{r['wasted']:.1%}",
                    r["run_twice"],
                    _format_recovery(r["recovery_goodput_s"]),
                    _format_recovery(r["recovery_p99_s"]),
                ]
            )
    order = list(data["results"]["rattanfork"])
    rows.sort(key=lambda row: order.index(row[0]))
    columns = ["scenario", "system", "offered/s", "goodput/s (share)"]
    columns += ["file", "view", "browse", "ampl.", "wasted", "run twice"]
    return table([*columns, "goodput back", "p99 back"], rows)


def _format_recovery(value: float | None) -> str:
    return "never" if value is None else f"{value:g} s"


def rows_of(entries: list[dict]) -> str:
    """Return dictionaries as a table with the union of their keys as columns."""
    columns = list(dict.fromkeys(key for entry in entries for key in entry))
    rows = [[_format(entry.get(c, "")) for c in columns] for entry in entries]
    return table(columns, rows)


def _format(value: object) -> object:
    return f"{value:.1f}" if isinstance(value, float) else value


def main() -> None:
    """Print all saved results."""
    for name in ("surge", "shared", "slopes", "speed"):
        path = FOLDER / f"{name}.json"
        if not path.exists():
            continue
        data = json.loads(path.read_text())
        print(f"\n## {name}\n")
        if name == "surge":
            print(surge(data))
        elif name == "slopes":
            for part, entries in data.items():
                listed = entries if isinstance(entries, list) else [entries]
                print(f"\n{part}\n\n{rows_of(listed)}")
        else:
            print(json.dumps(data, indent=1))


if __name__ == "__main__":
    main()
