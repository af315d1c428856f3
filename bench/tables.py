"""Print the saved results as Markdown tables, for the pages in docs/."""

import json
from pathlib import Path

FOLDER = Path(__file__).parent.parent / "docs" / "measurements"


def table(columns: list[str], rows: list[list[object]]) -> str:
    """Return a Markdown table."""
    lines = [columns, ["---"] * len(columns), *rows]
    return "\n".join(f"| {' | '.join(str(c) for c in line)} |" for line in lines)


def surge(data: dict) -> str:
    """Return the surges, one line for each system and scenario."""
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
                    _seconds(r["recovery_goodput_s"]),
                    _seconds(r["recovery_p99_s"]),
                ]
            )
    order = list(data["results"]["rattanfork"])
    rows.sort(key=lambda row: order.index(row[0]))
    columns = ["scenario", "system", "offered/s", "goodput/s (share)"]
    columns += ["file", "view", "browse", "ampl.", "wasted", "run twice"]
    return table([*columns, "goodput back", "p99 back"], rows)


def _seconds(value: float | None) -> str:
    return "never" if value is None else f"{value:g} s"


def rows_of(entries: list[dict]) -> str:
    """Return entries of like shape as a table."""
    columns = list(dict.fromkeys(key for entry in entries for key in entry))
    rows = [[_short(entry.get(c, "")) for c in columns] for entry in entries]
    return table(columns, rows)


def _short(value: object) -> object:
    return f"{value:.1f}" if isinstance(value, float) else value


def main() -> None:
    """Print all that has been saved."""
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
