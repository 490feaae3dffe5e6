"""The report as one self-contained HTML page: tables, and plots over time drawn as SVG. No scripts."""

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


def recovery_rows(told: dict[str, Any]) -> list[tuple[str, str]]:
    """The figures of a report's recovery, as rows."""
    used = told["store_used"]
    rows = [
        (
            "store used while reads are refused for the limit",
            f"{used:.2f} over {told['seconds_short']} s" if used is not None else "no such second",
        ),
        ("fetches wasted", f"{told['fetches_wasted']:.3f}"),
    ]
    if "bound_service" in told:
        back = told["time_to_recover"]
        rows += [
            ("seconds to recover", f"{back:g}" if back is not None else "not within the run"),
            ("service of the calm twin", f"{told['calm_service']:.3f}"),
            ("service of the clairvoyant bound", f"{told['bound_service']:.3f}"),
            ("share of the bound", f"{told['share_of_bound']:.3f}"),
        ]
    return rows


def deadline_line(told: dict[str, Any]) -> str:
    """What attempts advertised of their clients' time, in one line."""
    return (
        f"attempts: {told['attempts']}, of which {told['further_attempts']} further ones; "
        f"advertised more than was left: {told['above_what_was_left']} "
        f"(by {told['largest_excess_ms']:.3f} ms at most); unreadable: {told['unreadable']}"
    )


def as_page(report: dict[str, Any]) -> str:
    """The whole page."""
    scale, service, series = report["scale"], report["service"], report["series"]
    seconds = series["second"]
    marks = [(at, what) for at, what in report["events"]]
    failures = verdict(report)
    parts = [
        f"<h1>{escape(report['scenario'])}</h1>",
        f"<p>Seed {report['seed']}, plan {report['plan']}, {report['clock']} clock; "
        f"{scale['routers']} routers, {scale['nodes']} nodes, {scale['rate']:g} requests a second, "
        f"{scale['length_s']:g} s.</p>",
        "<p>Every rule held and all adds up.</p>"
        if not failures
        else "".join(f'<p class="bad">{escape(line)}</p>' for line in failures),
        _table(
            ("service", "of what was asked"),
            [
                ("weighted", f"{service['weighted']:.3f}"),
                ("whole run", f"{service['whole']:.3f}"),
                (f"worst 10 s, from {service['worst_10_s_from']} s", f"{service['worst_10_s']:.3f}"),
                *((name, f"{value:.3f}") for name, value in service["namespaces"].items()),
                *((name, f"{value:.3f}") for name, value in service["classes"].items()),
            ],
        ),
        "<h2>Service by namespace</h2>",
        _plot(range(len(next(iter(service["by_second"].values())))), service["by_second"], 1.0, marks),
        "<h2>Fetches from the store, a second</h2>",
        _plot(seconds, {"fetches": series["fetches"]}, None, marks),
        "<h2>Open requests</h2>",
        _plot(seconds, {"open": series["open"]}, None, marks),
        "<h2>Load of each node</h2>",
        _heat(seconds, series["load"]),
        *_recovery(report, marks),
        "<h2>What happened</h2>",
        _table(("at", "what"), [(f"{at:g} s", what) for at, what in report["events"]]),
        "<h2>Every try</h2>",
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
                (rule, "yes" if told["held"] else "no", str(told["breaches"]))
                for rule, told in report["rules"].items()
            ],
        ),
        f"<p>{escape(deadline_line(report['deadlines']))}</p>",
    ]
    head = f"<meta charset='utf-8'><title>{escape(report['scenario'])}</title><style>{STYLE}</style>"
    return f"<!doctype html><html lang='en'><head>{head}</head><body>{''.join(parts)}</body></html>\n"


def _recovery(report: dict[str, Any], marks: list[tuple[float, str]]) -> list[str]:
    """Where service went, and when it was back."""
    told = report["recovery"]
    seconds = list(range(len(told["held"])))
    parts = ["<h2>Recovery</h2>", _table(("recovery", ""), recovery_rows(told))]
    if beside := told.get("service_by_second"):
        whole = range(len(beside["this"]))
        parts += ["<h3>Service, of five seconds each</h3>", _plot(whole, beside, 1.0, marks)]
    plots: list[tuple[str, dict[str, list[float | None]], float | None]] = [
        ("Refused a second, by reason", told["refused"], None),
        ("Copies held of the working set", {"held": told["held"]}, 1.0),
        ("Fetches a second, by what they were good for", told["fetches"], None),
        (
            "What the limits allow a second, and what the store can serve",
            {"limit": told["limit"], "store": [told["capacity"]] * len(seconds)},
            2 * told["capacity"],
        ),
        ("Tries a second", told["tries"], None),
    ]
    for title, lines, top in plots:
        if lines:
            parts += [f"<h3>{title}</h3>", _plot(seconds, lines, top, marks)]
    return parts


def _table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    heads = "".join(f"<th>{escape(cell)}</th>" for cell in head)
    body = "".join("<tr>" + "".join(f"<td>{escape(cell)}</td>" for cell in row) + "</tr>" for row in rows)
    return f"<table><tr>{heads}</tr>{body}</table>"


def _plot(
    seconds: Sequence[float],
    lines: dict[str, list[float | None]],
    most: float | None,
    marks: list[tuple[float, str]],
) -> str:
    """Lines over time; `most` is the top of the scale, else the largest value is."""
    top = most or max((v for row in lines.values() for v in row if v is not None), default=1) or 1
    end = max(seconds, default=1) or 1

    def place(second: float, value: float) -> str:
        x = LEFT + second / end * (WIDTH - LEFT - 8)
        return f"{x:.1f},{HEIGHT - BOTTOM - value / top * (HEIGHT - BOTTOM - 10):.1f}"

    drawn = [
        f'<line x1="{LEFT}" x2="{WIDTH}" y1="{HEIGHT - BOTTOM}" y2="{HEIGHT - BOTTOM}" stroke="#9aa4ad"/>',
        f'<text x="4" y="16">{top:g}</text><text x="4" y="{HEIGHT - BOTTOM}">0</text>',
        f'<text x="{WIDTH - 40}" y="{HEIGHT - 6}">{end:g} s</text>',
    ]
    for at, what in marks:
        x = place(at, 0).split(",")[0]
        drawn.append(
            f'<line x1="{x}" x2="{x}" y1="8" y2="{HEIGHT - BOTTOM}" stroke="#c8ced4" stroke-dasharray="3 3">'
            f"<title>{escape(what)}</title></line>"
        )
    for number, (name, row) in enumerate(lines.items()):
        colour = COLOURS[number % len(COLOURS)]
        points = " ".join(place(s, v) for s, v in zip(seconds, row, strict=False) if v is not None)
        drawn.append(f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="1.6"/>')
        left = LEFT + 8 + 110 * number
        drawn.append(f'<text x="{left}" y="{HEIGHT - 6}" style="fill:{colour}">{escape(name)}</text>')
    return f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" width="100%" role="img">{"".join(drawn)}</svg>'


def _heat(seconds: Sequence[float], load: dict[str, list[float]]) -> str:
    """A row a node, a cell a second; the darker, the busier."""
    tall = 13
    wide = (WIDTH - LEFT - 8) / max(len(seconds), 1)
    drawn = []
    for line, (name, row) in enumerate(load.items()):
        y = line * tall
        drawn.append(f'<text x="0" y="{y + 10}">{escape(name)}</text>')
        for place, value in enumerate(row):
            if value > 0.005:
                box = f'x="{LEFT + place * wide:.1f}" y="{y}" width="{wide:.1f}" height="{tall - 1}"'
                told = f"<title>{escape(name)}: {value:.0%}</title>"
                drawn.append(f'<rect {box} fill="#1f5fa8" fill-opacity="{value:.2f}">{told}</rect>')
    return f'<svg viewBox="0 0 {WIDTH} {len(load) * tall}" width="100%" role="img">{"".join(drawn)}</svg>'
