"""Burn rate report as a self-contained HTML page."""

from html import escape

from rattanfork_core.burn import BurnLine

_STYLE = """
body { font: 15px sans-serif; margin: 2em; color: #222 }
table { border-collapse: collapse; margin-bottom: 2em }
td, th { border: 1px solid #ccc; padding: .3em .7em; text-align: left }
text { font: 12px sans-serif }
"""
_WINDOW_NAMES = ("5 min", "1 h", "6 h")
_MAX_BAR_WIDTH_PX = 300


def render_burn_report(lines: list[BurnLine], unknown: dict[str, object]) -> str:
    """Return the report as HTML, with a bar chart for each objective.

    Parameters
    ==========

    unknown : dict
        Notes below the charts, on what the report does not cover.

    Examples
    ========

    >>> line = BurnLine("claims", "all", 0.9, 9, (2.0, 1.0, 0.5), 0.5, None, ())
    >>> page = render_burn_report([line], {})
    >>> page.count("<svg"), "claims" in page
    (1, True)
    """
    parts = [_render_objective(line) for line in lines] or [
        "<p>There are no objectives.</p>"
    ]
    notes = "".join(
        f"<p>{escape(str(key))}: {escape(str(value))}</p>"
        for key, value in unknown.items()
    )
    return (
        "<!doctype html><meta charset=utf-8><title>Burn rate of objectives</title>"
        f"<style>{_STYLE}</style><h1>Burn rate of objectives</h1>"
        f"{''.join(parts)}{notes}\n"
    )


def _render_objective(line: BurnLine) -> str:
    title = escape(f"{line.service} ({line.importance})")
    rows = "".join(
        f"<tr><td>{escape(rule or 'no rule')}<td>{count}"
        for rule, count in line.spenders
    )
    spent = f"<table><tr><th>used by<th>requests{rows}</table>" if rows else ""
    return (
        f"<h2>{title}</h2><p>target {line.target:.3%}, {line.requests} requests, "
        f"budget left {line.budget_left:.1%}</p>{_render_bars(line)}{spent}"
    )


def _render_bars(line: BurnLine) -> str:
    axis_end = max(2.0, *line.burn)
    bars = []
    for i, (name, rate) in enumerate(zip(_WINDOW_NAMES, line.burn, strict=True)):
        width = _MAX_BAR_WIDTH_PX * rate / axis_end
        colour = "#c33" if rate > 1 else "#396"
        y = 10 + 24 * i
        bars.append(
            f'<text x="0" y="{y + 13}">{name}</text>'
            f'<rect x="50" y="{y}" width="{width:.1f}" height="18" fill="{colour}"/>'
            f'<text x="{55 + width:.1f}" y="{y + 13}">{rate:.2f}</text>'
        )
    limit_x = 50 + _MAX_BAR_WIDTH_PX / axis_end
    limit_line = f'<line x1="{limit_x}" x2="{limit_x}" y1="4" y2="84" stroke="#333"/>'
    return f'<svg width="420" height="90">{"".join(bars)}{limit_line}</svg>'
