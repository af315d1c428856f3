"""The burn report as a page that needs nothing else."""

from html import escape

from rattanfork_core.burn import BurnLine

_STYLE = """
body { font: 15px sans-serif; margin: 2em; color: #222 }
table { border-collapse: collapse; margin-bottom: 2em }
td, th { border: 1px solid #ccc; padding: .3em .7em; text-align: left }
text { font: 12px sans-serif }
"""
_WINDOWS = ("5 min", "1 h", "6 h")
_BAR_WIDTH = 300


def burn_page(lines: list[BurnLine], unknown: dict[str, object]) -> str:
    """Return the report as HTML with a plot for each objective.

    Examples
    ========

    >>> line = BurnLine("claims", "all", 0.9, 9, (2.0, 1.0, 0.5), 0.5, None, ())
    >>> page = burn_page([line], {})
    >>> page.count("<svg"), "claims" in page
    (1, True)
    """
    parts = [_section(line) for line in lines] or ["<p>The rules state none.</p>"]
    notes = "".join(
        f"<p>{escape(str(key))}: {escape(str(value))}</p>"
        for key, value in unknown.items()
    )
    return (
        "<!doctype html><meta charset=utf-8><title>Burn of objectives</title>"
        f"<style>{_STYLE}</style><h1>Burn of objectives</h1>"
        f"{''.join(parts)}{notes}\n"
    )


def _section(line: BurnLine) -> str:
    title = escape(f"{line.service} ({line.importance})")
    rows = "".join(
        f"<tr><td>{escape(rule or 'no rule')}<td>{count}"
        for rule, count in line.spenders
    )
    spent = f"<table><tr><th>spent by<th>requests{rows}</table>" if rows else ""
    return (
        f"<h2>{title}</h2><p>target {line.target:.3%}, {line.requests} requests, "
        f"budget left {line.budget_left:.1%}</p>{_plot(line)}{spent}"
    )


def _plot(line: BurnLine) -> str:
    top = max(2.0, *line.burn)
    bars = []
    for i, (name, rate) in enumerate(zip(_WINDOWS, line.burn, strict=True)):
        width = _BAR_WIDTH * rate / top
        colour = "#c33" if rate > 1 else "#396"
        y = 10 + 24 * i
        bars.append(
            f'<text x="0" y="{y + 13}">{name}</text>'
            f'<rect x="50" y="{y}" width="{width:.1f}" height="18" fill="{colour}"/>'
            f'<text x="{55 + width:.1f}" y="{y + 13}">{rate:.2f}</text>'
        )
    limit = 50 + _BAR_WIDTH / top
    mark = f'<line x1="{limit}" x2="{limit}" y1="4" y2="84" stroke="#333"/>'
    return f'<svg width="420" height="90">{"".join(bars)}{mark}</svg>'
