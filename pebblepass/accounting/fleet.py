"""Sums the accounts of many routers over a period, and checks that the sums balance. No I/O.

A cut holds the documents (`/figures`, or snapshots) of all routers at one moment. Within an epoch of a router
the flow between two cuts is the difference of their counts. In a new epoch the counts start at zero, and the
outcome of the requests that were open in the previous cut is unknown.
"""

from __future__ import annotations

import csv
import io
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, fields
from html import escape
from itertools import pairwise

import msgspec

from pebblepass.accounting.snapshot import Row

FLOWS = ("taken", "served_in_aim", "served_late", "refused", "failed", "gone")


class RouterDocument(msgspec.Struct, frozen=True):
    """One router's document in a cut; its other keys are ignored."""

    router: str
    epoch: str
    figures: list[Row]
    breaches: int = 0


class Cut(msgspec.Struct, frozen=True):
    """The documents of all routers at one moment."""

    unix_ns: int
    routers: list[RouterDocument]
    unreached: list[str] = []
    """An error line for each router that gave no document."""


@dataclass(slots=True)
class ReportLine:
    """The counts of one namespace and class over the period."""

    namespace: str
    request_class: str
    open_before: int = 0
    taken: int = 0
    served_in_aim: int = 0
    served_late: int = 0
    refused: int = 0
    failed: int = 0
    gone: int = 0
    unknown: int = 0
    open_after: int = 0

    @property
    def balances(self) -> bool:
        """Whether the requests open before and taken are those closed and open after."""
        closed = self.served_in_aim + self.served_late + self.refused + self.failed + self.gone + self.unknown
        return self.open_before + self.taken == closed + self.open_after


COUNT_FIELDS = tuple(
    field.name for field in fields(ReportLine) if field.name not in ("namespace", "request_class")
)


def read_cuts(lines: Iterable[bytes], begin_ns: int = 0, end_ns: int | None = None) -> list[Cut]:
    """Return the cuts within the period from lines of JSON; raises ValueError with a one-line message."""
    cuts = []
    for number, line in enumerate(lines, 1):
        try:
            cut = msgspec.json.decode(line, type=Cut)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(f"line {number}: {' '.join(str(error).split())}") from None
        if begin_ns <= cut.unix_ns and (end_ns is None or cut.unix_ns <= end_ns):
            cuts.append(cut)
    return sorted(cuts, key=lambda cut: cut.unix_ns)


def sum_cuts(cuts: Sequence[Cut]) -> list[ReportLine]:
    """Return the sums over all routers: a line for each namespace and class, then the total."""
    lines: dict[tuple[str, str], ReportLine] = {}
    last: dict[str, RouterDocument] = {}
    for cut in cuts:
        for document in cut.routers:
            _add_flows(lines, last.get(document.router), document)
            last[document.router] = document
    for document in last.values():
        for row in document.figures:
            _line(lines, row).open_after += row.open
    total = ReportLine("all", "all")
    for line in lines.values():
        for name in COUNT_FIELDS:
            setattr(total, name, getattr(total, name) + getattr(line, name))
    return [*(lines[key] for key in sorted(lines)), total]


def _line(lines: dict[tuple[str, str], ReportLine], row: Row) -> ReportLine:
    return lines.setdefault((row.namespace, row.name), ReportLine(row.namespace, row.name))


def _add_flows(
    lines: dict[tuple[str, str], ReportLine], before: RouterDocument | None, document: RouterDocument
) -> None:
    """Add the counts of one router between two consecutive cuts to the report lines."""
    earlier_rows: dict[tuple[str, str], Row] = {}
    if before is None:
        for row in document.figures:
            _line(lines, row).open_before += row.open
        return
    if before.epoch == document.epoch:
        earlier_rows = {(row.namespace, row.name): row for row in before.figures}
    else:
        for row in before.figures:
            _line(lines, row).unknown += row.open
    for row in document.figures:
        line, earlier = _line(lines, row), earlier_rows.get((row.namespace, row.name))
        for name in FLOWS:
            flow = getattr(row, name) - (getattr(earlier, name) if earlier is not None else 0)
            setattr(line, name, getattr(line, name) + flow)


def taken_over_time(cuts: Sequence[Cut]) -> dict[str, list[tuple[int, int]]]:
    """Return for each namespace the time of each cut (Unix, ns) and the requests taken since the previous."""
    series: dict[str, list[tuple[int, int]]] = defaultdict(list)
    for earlier, later in pairwise(cuts):
        taken: dict[str, int] = defaultdict(int)
        for line in sum_cuts((earlier, later))[:-1]:
            taken[line.namespace] += line.taken
        for namespace, count in taken.items():
            series[namespace].append((later.unix_ns, count))
    return dict(series)


COLUMNS = ("namespace", "class", *(name.replace("_", " ") for name in COUNT_FIELDS), "closes")


def table_cells(line: ReportLine) -> tuple[str, ...]:
    """Return the table cells of a line."""
    numbers = (str(getattr(line, name)) for name in COUNT_FIELDS)
    return line.namespace, line.request_class, *numbers, "yes" if line.balances else "NO"


def as_csv(lines: Sequence[ReportLine]) -> str:
    """Return the table as CSV (RFC 4180)."""
    text = io.StringIO()
    csv.writer(text).writerows([COLUMNS, *(table_cells(line) for line in lines)])
    return text.getvalue()


def as_html(lines: Sequence[ReportLine], series: dict[str, list[tuple[int, int]]], title: str) -> str:
    """Return the table as an HTML page with a plot of the requests taken."""
    header_cells = "".join(f"<th>{escape(column)}</th>" for column in COLUMNS)
    rows = "".join(
        "<tr>" + "".join(f"<td>{escape(cell)}</td>" for cell in table_cells(line)) + "</tr>" for line in lines
    )
    times = [unix_ns for points in series.values() for unix_ns, _ in points]
    max_count = max((count for points in series.values() for _, count in points), default=1) or 1
    begin, span = min(times, default=0), max(max(times, default=1) - min(times, default=0), 1)
    colours = ("#1f5fa8", "#c2571a", "#2c8a4b", "#8a3fa0")
    plots = "".join(
        f'<polyline fill="none" stroke="{colours[number % len(colours)]}" points="'
        + " ".join(
            f"{(unix_ns - begin) / span * 800:.1f},{160 - count / max_count * 150:.1f}"
            for unix_ns, count in points
        )
        + f'"><title>{escape(namespace)}</title></polyline>'
        f'<text x="{8 + 120 * number}" y="176" fill="{colours[number % len(colours)]}">'
        f"{escape(namespace)}</text>"
        for number, (namespace, points) in enumerate(sorted(series.items()))
    )
    style = "body{font:15px system-ui;margin:2em}td,th{padding:2px 10px;text-align:right}"
    return (
        f"<!doctype html><html lang='en'><head><meta charset='utf-8'><title>{escape(title)}</title>"
        f"<style>{style}</style></head><body><h1>{escape(title)}</h1><table><tr>{header_cells}</tr>{rows}</table>"
        f'<h2>Taken over time</h2><svg viewBox="0 0 810 180" width="100%">{plots}</svg></body></html>\n'
    )
