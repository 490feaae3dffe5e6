"""`pebblepass figures`: checks routers for breaches, collects their accounts, and reports on them."""

from __future__ import annotations

import http.client
import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from pebblepass.accounting import fleet
from pebblepass.wire.address import parse_address

HTTP_TIMEOUT_S = 5.0
TABLE_WIDTH = 140  # columns, where the output is not a terminal
MAX_CONCURRENT_FETCHES = 128  # each uses a thread and a file descriptor


class RouterUnreachableError(Exception):
    """No document could be read from a router; the text is one line that names the router."""


def fetch_document(router: str) -> dict[str, Any]:
    """Return the document from a listener (HOST:PORT) or a snapshot file; raises RouterUnreachableError."""
    try:
        if Path(router).is_file():
            document = json.loads(Path(router).read_bytes())
        else:
            host, port = parse_address("router", router)
            connection = http.client.HTTPConnection(host, port, timeout=HTTP_TIMEOUT_S)
            try:
                connection.request("GET", "/figures")
                response = connection.getresponse()
                if response.status != 200:
                    raise RouterUnreachableError(f"{router}: expected HTTP status 200, got {response.status}")
                document = json.loads(response.read())
            finally:
                connection.close()
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise RouterUnreachableError(
            f"{router}: {' '.join(str(error).split()) or type(error).__name__}"
        ) from None
    if not isinstance(document, dict) or "figures" not in document:
        raise RouterUnreachableError(f"{router}: the document has no `figures`")
    return document


def fetch_all(routers: tuple[str, ...]) -> tuple[list[dict[str, Any]], list[str]]:
    """Return the documents of all routers, and an error line for each router that gave none."""
    documents, unreached = [], []
    with ThreadPoolExecutor(min(len(routers), MAX_CONCURRENT_FETCHES)) as pool:
        for future in [pool.submit(fetch_document, router) for router in routers]:
            try:
                documents.append(future.result())
            except RouterUnreachableError as error:
                unreached.append(str(error))
    return documents, unreached


@click.group()
def figures() -> None:
    """Check, collect and report the accounts of one router or of a fleet."""


@figures.command()
@click.argument("routers", nargs=-1, required=True)
def check(routers: tuple[str, ...]) -> None:
    """Check each ROUTER (HOST:PORT or snapshot file). Exit 0: no breach; 1: a breach; 2: not all reached."""
    documents, unreached = fetch_all(routers)
    for line in unreached:
        click.echo(f"pebblepass: {line}", err=True)
    breach_found = False
    for document in documents:
        pending = document.get("unacknowledged", [])
        for breach in pending:
            breach_found = True
            click.echo(
                f"{document['router']}: breach {breach['number']}: {breach['kind']}: {breach['request']}"
            )
        if not pending and "unacknowledged" not in document and document.get("breaches"):
            breach_found = True
            click.echo(f"{document['router']}: {document['breaches']} breach(es) in its snapshot")
    sys.exit(1 if breach_found else 2 if unreached else 0)


@figures.command()
@click.argument("routers", nargs=-1, required=True)
@click.option(
    "--out", type=click.Path(path_type=Path), required=True, help="The file to which each cut is appended."
)
@click.option(
    "--every", type=click.FloatRange(0.1), default=5.0, show_default=True, help="Seconds between cuts."
)
@click.option("--count", type=click.IntRange(1), default=1, show_default=True, help="Number of cuts.")
def collect(routers: tuple[str, ...], out: Path, every: float, count: int) -> None:
    """Collect cuts of the accounts of all ROUTERs (HOST:PORT or snapshot files) for a report."""
    all_reached = True
    for number in range(count):
        if number:
            time.sleep(every)
        cut_time_ns = time.time_ns()
        documents, unreached = fetch_all(routers)
        for line in unreached:
            all_reached = False
            click.echo(f"pebblepass: {line}", err=True)
        cut = {"unix_ns": cut_time_ns, "routers": documents, "unreached": unreached}
        try:
            with out.open("a") as file:
                file.write(json.dumps(cut, separators=(",", ":")) + "\n")
        except OSError as error:
            click.echo(f"pebblepass: {out}: {error.strerror}", err=True)
            sys.exit(2)
    sys.exit(0 if all_reached else 2)


def _unix_ns(text: str | None) -> int | None:
    if text is None:
        return None
    try:
        return int(datetime.fromisoformat(text).timestamp() * 1_000_000_000)
    except ValueError:
        click.echo(f"pebblepass: expected a time in ISO 8601, got {text!r}", err=True)
        sys.exit(2)


@figures.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--from", "begin", help="Start time in ISO 8601; default: the first cut.")
@click.option("--to", "end", help="End time in ISO 8601; default: the last cut.")
@click.option(
    "--csv", "csv_file", type=click.Path(path_type=Path), help="Write the table to this file as CSV."
)
@click.option(
    "--html", type=click.Path(path_type=Path), help="Write the table and a plot to this file as HTML."
)
def report(file: Path, begin: str | None, end: str | None, csv_file: Path | None, html: Path | None) -> None:
    """Print the municipality's table from the cuts in FILE. Exit 0: every line balances; 1: one does not."""
    begin_ns, end_ns = _unix_ns(begin), _unix_ns(end)
    try:
        with file.open("rb") as lines:
            cuts = fleet.read_cuts(lines, begin_ns or 0, end_ns)
    except (OSError, ValueError) as error:
        click.echo(f"pebblepass: {file}: {getattr(error, 'strerror', None) or error}", err=True)
        sys.exit(2)
    if len(cuts) < 2:
        click.echo(
            f"pebblepass: {file}: a report needs at least two cuts in its period, found {len(cuts)}", err=True
        )
        sys.exit(2)
    report_lines = fleet.sum_cuts(cuts)
    table = Table(*fleet.COLUMNS, box=None)
    for line in report_lines:
        table.add_row(*fleet.table_cells(line))
    console = Console(highlight=False)
    (console if console.is_terminal else Console(highlight=False, width=TABLE_WIDTH)).print(table)
    first, last = (
        datetime.fromtimestamp(cut.unix_ns / 1e9).isoformat(" ", "seconds") for cut in (cuts[0], cuts[-1])
    )
    balanced = all(line.balances for line in report_lines)
    click.echo(
        f"{first} to {last}, {len(cuts)} cuts: the balance {'closes' if balanced else 'DOES NOT CLOSE'}"
    )
    if csv_file is not None:
        csv_file.write_text(fleet.as_csv(report_lines))
    if html is not None:
        html.write_text(fleet.as_html(report_lines, fleet.taken_over_time(cuts), f"{first} to {last}"))
    sys.exit(0 if balanced else 1)
