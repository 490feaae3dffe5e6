"""`pebblepass figures`: check and collect routers, and report on what was collected."""

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

TIMEOUT_S = 5.0
WIDTH = 140
MAX_CONCURRENT_FETCHES = 128  # each takes a thread and a descriptor


class RouterUnreachableError(Exception):
    """A router gave no document; the text is one line that names it."""


def fetch_document(router: str) -> dict[str, Any]:
    """Return the document of a listener (HOST:PORT) or a snapshot file; raises RouterUnreachableError."""
    try:
        if Path(router).is_file():
            document = json.loads(Path(router).read_bytes())
        else:
            host, port = parse_address("router", router)
            connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
            try:
                connection.request("GET", "/figures")
                answer = connection.getresponse()
                if answer.status != 200:
                    raise RouterUnreachableError(f"{router}: answered {answer.status}")
                document = json.loads(answer.read())
            finally:
                connection.close()
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise RouterUnreachableError(
            f"{router}: {' '.join(str(error).split()) or type(error).__name__}"
        ) from None
    if not isinstance(document, dict) or "figures" not in document:
        raise RouterUnreachableError(f"{router}: told something else than figures")
    return document


def fetch_all(routers: tuple[str, ...]) -> tuple[list[dict[str, Any]], list[str]]:
    """Return all documents of one cut, and an error line for each router without one."""
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
    """Where every request went, router by router or over a fleet."""


@figures.command()
@click.argument("routers", nargs=-1, required=True)
def check(routers: tuple[str, ...]) -> None:
    """Exit 0: no breach at any ROUTER (HOST:PORT or snapshot file); 1: a breach; 2: one not reached."""
    documents, unreached = fetch_all(routers)
    for line in unreached:
        click.echo(f"pebblepass: {line}", err=True)
    breached = False
    for document in documents:
        pending = document.get("unacknowledged", [])
        for breach in pending:
            breached = True
            click.echo(
                f"{document['router']}: breach {breach['number']}: {breach['kind']}: {breach['request']}"
            )
        if not pending and "unacknowledged" not in document and document.get("breaches"):
            breached = True
            click.echo(f"{document['router']}: {document['breaches']} breach(es) by its snapshot")
    sys.exit(1 if breached else 2 if unreached else 0)


@figures.command()
@click.argument("routers", nargs=-1, required=True)
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Each cut is added here.")
@click.option("--every", type=click.FloatRange(0.1), default=5.0, show_default=True, help="Seconds.")
@click.option("--count", type=click.IntRange(1), default=1, show_default=True, help="Cuts to take.")
def collect(routers: tuple[str, ...], out: Path, every: float, count: int) -> None:
    """Take cuts of all ROUTERs (HOST:PORT or snapshot files) for a report."""
    reached = True
    for number in range(count):
        if number:
            time.sleep(every)
        at = time.time_ns()
        documents, unreached = fetch_all(routers)
        for line in unreached:
            reached = False
            click.echo(f"pebblepass: {line}", err=True)
        cut = {"unix_ns": at, "routers": documents, "unreached": unreached}
        try:
            with out.open("a") as file:
                file.write(json.dumps(cut, separators=(",", ":")) + "\n")
        except OSError as error:
            click.echo(f"pebblepass: {out}: {error.strerror}", err=True)
            sys.exit(2)
    sys.exit(0 if reached else 2)


def _unix_ns(text: str | None) -> int | None:
    if text is None:
        return None
    try:
        return int(datetime.fromisoformat(text).timestamp() * 1_000_000_000)
    except ValueError:
        click.echo(f"pebblepass: not a time in ISO 8601: {text!r}", err=True)
        sys.exit(2)


@figures.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--from", "begin", help="A time in ISO 8601; left out: the first cut.")
@click.option("--to", "end", help="A time in ISO 8601; left out: the last cut.")
@click.option("--csv", "csv_file", type=click.Path(path_type=Path), help="Write the table here as CSV.")
@click.option("--html", type=click.Path(path_type=Path), help="Write the table and a plot here.")
def report(file: Path, begin: str | None, end: str | None, csv_file: Path | None, html: Path | None) -> None:
    """The municipality's table from the cuts in FILE. Exit 0: every line closes; 1: one does not."""
    begin_ns, end_ns = _unix_ns(begin), _unix_ns(end)
    try:
        with file.open("rb") as lines:
            cuts = fleet.read_cuts(lines, begin_ns or 0, end_ns)
    except (OSError, ValueError) as error:
        click.echo(f"pebblepass: {file}: {getattr(error, 'strerror', None) or error}", err=True)
        sys.exit(2)
    if len(cuts) < 2:
        click.echo(f"pebblepass: {file}: a report needs two cuts in its time, found {len(cuts)}", err=True)
        sys.exit(2)
    lines_added = fleet.sum_cuts(cuts)
    table = Table(*fleet.COLUMNS, box=None)
    for line in lines_added:
        table.add_row(*fleet.table_cells(line))
    console = Console(highlight=False)
    (console if console.is_terminal else Console(highlight=False, width=WIDTH)).print(table)
    first, last = (
        datetime.fromtimestamp(cut.unix_ns / 1e9).isoformat(" ", "seconds") for cut in (cuts[0], cuts[-1])
    )
    closes = all(line.closes for line in lines_added)
    click.echo(f"{first} to {last}, {len(cuts)} cuts: the balance {'closes' if closes else 'DOES NOT CLOSE'}")
    if csv_file is not None:
        csv_file.write_text(fleet.as_csv(lines_added))
    if html is not None:
        html.write_text(fleet.as_html(lines_added, fleet.taken_over_time(cuts), f"{first} to {last}"))
    sys.exit(0 if closes else 1)
