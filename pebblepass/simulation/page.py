"""The report as a self-contained HTML page without scripts: tables, and plots over time as SVG."""

from __future__ import annotations

from collections.abc import Sequence
from html import escape
from typing import Any

from pebblepass.simulation.report import verdict
from pebblepass.simulation.request_counts import OUTCOMES

WIDTH, HEIGHT, LEFT, BOTTOM = 860, 180, 44, 22
COLOURS = ("#1f5fa8", "#c2571a", "#2c8a4b", "#8a3fa0", "#a32638", "#5a6470")

STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 900px; color: #1c2126; }
h1 { font-size: 1.4em; } h2 { font-size: 1.1em; margin-top: 1.8em; }
table { border-collapse: collapse; } td, th { padding: 2px 10px; text-align: right; }
td:first-child, th:first-child { text-align: left; } tr:nth-child(even) { background: #f3f5f7; }
.bad { color: #a32638; font-weight: 600; } svg text { font-size: 11px; fill: #5a6470; }
"""


def recovery_rows(recovery: dict[str, Any]) -> list[tuple[str, str]]:
    """Return the figures of the report on recovery as rows of a table."""
    store_used = recovery["store_used"]
    rows = [
        (
            "store utilisation while reads are refused by the limit",
            f"{store_used:.2f} over {recovery['seconds_short']} s"
            if store_used is not None
            else "reads never refused by the limit",
        ),
        ("fetches wasted", f"{recovery['fetches_wasted']:.3f}"),
    ]
    if "bound_service" in recovery:
        time_to_recover = recovery["time_to_recover"]
        rows += [
            (
                "seconds to recover",
                f"{time_to_recover:g}" if time_to_recover is not None else "not within the run",
            ),
            ("service of the calm twin", f"{recovery['calm_service']:.3f}"),
            ("service of the clairvoyant bound", f"{recovery['bound_service']:.3f}"),
            ("share of the bound", f"{recovery['share_of_bound']:.3f}"),
        ]
    return rows


def deadline_line(deadlines: dict[str, Any]) -> str:
    """Return one line on the timeouts that attempts advertised."""
    return (
        f"attempts: {deadlines['attempts']}, of which {deadlines['further_attempts']} are further attempts; "
        f"advertised more than was left: {deadlines['above_what_was_left']} "
        f"(by {deadlines['largest_excess_ms']:.3f} ms at most); unreadable: {deadlines['unreadable']}"
    )


def as_page(report: dict[str, Any]) -> str:
    """Return the page."""
    scale, service, series = report["scale"], report["service"], report["series"]
    seconds = series["second"]
    events = [(at, description) for at, description in report["events"]]
    failures = verdict(report)
    parts = [
        f"<h1>{escape(report['scenario'])}</h1>",
        f"<p>Seed {report['seed']}, plan {report['plan']}, {report['clock']} clock; "
        f"{scale['routers']} routers, {scale['nodes']} nodes, {scale['rate']:g} requests a second, "
        f"{scale['length_s']:g} s.</p>",
        "<p>Every rule held and all counts agree.</p>"
        if not failures
        else "".join(f'<p class="bad">{escape(line)}</p>' for line in failures),
        _table(
            ("service", "share of worth"),
            [
                ("weighted", f"{service['weighted']:.3f}"),
                ("whole run", f"{service['whole']:.3f}"),
                (f"worst 10 s, from {service['worst_10_s_from']} s", f"{service['worst_10_s']:.3f}"),
                *((name, f"{value:.3f}") for name, value in service["namespaces"].items()),
                *((name, f"{value:.3f}") for name, value in service["classes"].items()),
            ],
        ),
        "<h2>Service by namespace</h2>",
        _plot(range(len(next(iter(service["by_second"].values())))), service["by_second"], 1.0, events),
        "<h2>Fetches from the store per second</h2>",
        _plot(seconds, {"fetches": series["fetches"]}, None, events),
        "<h2>Open requests</h2>",
        _plot(seconds, {"open": series["open"]}, None, events),
        "<h2>Load of each node</h2>",
        _heat(seconds, series["load"]),
        *_recovery(report, events),
        "<h2>Events</h2>",
        _table(("at", "event"), [(f"{at:g} s", description) for at, description in report["events"]]),
        "<h2>Requests by outcome</h2>",
        _table(
            ("namespace", "class", "asked", *OUTCOMES),
            [
                (namespace, cls, *(str(tally[name]) for name in ("asked", *OUTCOMES)))
                for namespace, classes in report["tries"].items()
                for cls, tally in classes.items()
            ],
        ),
        "<h2>The five rules</h2>",
        _table(
            ("rule", "held", "breaches"),
            [
                (rule, "yes" if result["held"] else "no", str(result["breaches"]))
                for rule, result in report["rules"].items()
            ],
        ),
        f"<p>{escape(deadline_line(report['deadlines']))}</p>",
    ]
    head = f"<meta charset='utf-8'><title>{escape(report['scenario'])}</title><style>{STYLE}</style>"
    return f"<!doctype html><html lang='en'><head>{head}</head><body>{''.join(parts)}</body></html>\n"


def _recovery(report: dict[str, Any], events: list[tuple[float, str]]) -> list[str]:
    """Return the section on recovery."""
    recovery = report["recovery"]
    seconds = list(range(len(recovery["held"])))
    parts = ["<h2>Recovery</h2>", _table(("recovery", ""), recovery_rows(recovery))]
    if service_by_second := recovery.get("service_by_second"):
        all_seconds = range(len(service_by_second["this"]))
        parts += [
            "<h3>Service, averaged over five seconds</h3>",
            _plot(all_seconds, service_by_second, 1.0, events),
        ]
    plots: list[tuple[str, dict[str, list[float | None]], float | None]] = [
        ("Refusals per second, by reason", recovery["refused"], None),
        ("Share of the working set held in copies", {"held": recovery["held"]}, 1.0),
        ("Fetches per second, by use", recovery["fetches"], None),
        (
            "Fetches per second allowed by the limits, and capacity of the store",
            {"limit": recovery["limit"], "store": [recovery["capacity"]] * len(seconds)},
            2 * recovery["capacity"],
        ),
        ("Requests per second", recovery["tries"], None),
    ]
    for title, lines, top in plots:
        if lines:
            parts += [f"<h3>{title}</h3>", _plot(seconds, lines, top, events)]
    return parts


def _table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    heads = "".join(f"<th>{escape(cell)}</th>" for cell in head)
    body = "".join("<tr>" + "".join(f"<td>{escape(cell)}</td>" for cell in row) + "</tr>" for row in rows)
    return f"<table><tr>{heads}</tr>{body}</table>"


def _plot(
    seconds: Sequence[float],
    lines: dict[str, list[float | None]],
    maximum: float | None,
    events: list[tuple[float, str]],
) -> str:
    """Return a plot of lines over time; `maximum` is the top of the scale, by default the largest value."""
    top = maximum or max((v for row in lines.values() for v in row if v is not None), default=1) or 1
    end = max(seconds, default=1) or 1

    def point(second: float, value: float) -> str:
        x = LEFT + second / end * (WIDTH - LEFT - 8)
        return f"{x:.1f},{HEIGHT - BOTTOM - value / top * (HEIGHT - BOTTOM - 10):.1f}"

    elements = [
        f'<line x1="{LEFT}" x2="{WIDTH}" y1="{HEIGHT - BOTTOM}" y2="{HEIGHT - BOTTOM}" stroke="#9aa4ad"/>',
        f'<text x="4" y="16">{top:g}</text><text x="4" y="{HEIGHT - BOTTOM}">0</text>',
        f'<text x="{WIDTH - 40}" y="{HEIGHT - 6}">{end:g} s</text>',
    ]
    for at, description in events:
        x = point(at, 0).split(",")[0]
        elements.append(
            f'<line x1="{x}" x2="{x}" y1="8" y2="{HEIGHT - BOTTOM}" stroke="#c8ced4" stroke-dasharray="3 3">'
            f"<title>{escape(description)}</title></line>"
        )
    for number, (name, row) in enumerate(lines.items()):
        colour = COLOURS[number % len(COLOURS)]
        points = " ".join(point(s, v) for s, v in zip(seconds, row, strict=False) if v is not None)
        elements.append(f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="1.6"/>')
        left = LEFT + 8 + 110 * number
        elements.append(f'<text x="{left}" y="{HEIGHT - 6}" style="fill:{colour}">{escape(name)}</text>')
    return f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" width="100%" role="img">{"".join(elements)}</svg>'


def _heat(seconds: Sequence[float], load: dict[str, list[float]]) -> str:
    """Return a heat map of the nodes' load: a row for each node, a cell for each second."""
    height = 13
    width = (WIDTH - LEFT - 8) / max(len(seconds), 1)
    elements = []
    for line, (name, row) in enumerate(load.items()):
        y = line * height
        elements.append(f'<text x="0" y="{y + 10}">{escape(name)}</text>')
        for second, value in enumerate(row):
            if value > 0.005:
                box = f'x="{LEFT + second * width:.1f}" y="{y}" width="{width:.1f}" height="{height - 1}"'
                tooltip = f"<title>{escape(name)}: {value:.0%}</title>"
                elements.append(f'<rect {box} fill="#1f5fa8" fill-opacity="{value:.2f}">{tooltip}</rect>')
    return (
        f'<svg viewBox="0 0 {WIDTH} {len(load) * height}" width="100%" role="img">{"".join(elements)}</svg>'
    )
