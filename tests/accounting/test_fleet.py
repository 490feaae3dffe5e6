"""Fleet reports: sums of cuts across restarts, and the commands that collect and print them."""

from __future__ import annotations

import csv
import http.server
import io
import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from pebblepass.accounting.fleet import Cut, ReportLine, as_html, read_cuts, sum_cuts, taken_over_time
from pebblepass.cli import main
from tests.accounting.test_service import ROW

NS_PER_S = 1_000_000_000


def row(namespace: str = "public", **counts: int) -> dict[str, Any]:
    """One account; `served` requests are in aim, and `taken` defaults to the sum of the given counts."""
    full = {**ROW, "namespace": namespace, "latency_us": []}
    for name in ("served", "refused", "failed", "gone", "open"):
        full[name] = counts.get(name, 0)
    full["served_in_aim"] = full["served"]
    full["taken"] = counts.get("taken", sum(counts.values()))
    return full


def document(router: str, epoch: str, *rows: dict[str, Any], **other_keys: Any) -> dict[str, Any]:
    return {"router": router, "epoch": epoch, "breaches": 0, "figures": list(rows), **other_keys}


def cuts(*documents_by_cut: list[dict[str, Any]]) -> list[Cut]:
    lines = [
        json.dumps({"unix_ns": number * NS_PER_S, "routers": documents}).encode()
        for number, documents in enumerate(documents_by_cut)
    ]
    return read_cuts(lines)


def test_flow_between_two_cuts_is_summed_over_routers() -> None:
    lines = sum_cuts(
        cuts(
            [document("r0", "e", row(served=5, open=2)), document("r1", "f", row(served=1, open=1))],
            [document("r0", "e", row(served=9, refused=1, open=1)), document("r1", "f", row(served=4))],
        )
    )
    assert lines[0] == ReportLine(
        "public", "read", open_before=3, taken=6, served_in_aim=7, refused=1, open_after=1
    )
    assert all(line.balances for line in lines)


def test_new_epoch_counts_from_zero_and_open_requests_become_unknown() -> None:
    lines = sum_cuts(
        cuts(
            [document("r0", "e", row(served=100, open=3))],
            [document("r0", "e", row(served=110, open=4))],
            [document("r0", "another", row(served=7, open=1))],
        )
    )
    assert (lines[0].taken, lines[0].served_in_aim) == (11 + 8, 10 + 7)
    assert (lines[0].unknown, lines[0].open_after) == (4, 1)
    assert lines[-1].balances


def test_router_that_joins_later_counts_from_its_first_cut() -> None:
    lines = sum_cuts(
        cuts(
            [document("r0", "e", row(served=1))],
            [document("r0", "e", row(served=2)), document("r1", "f", row(served=50, open=2))],
            [document("r0", "e", row(served=3)), document("r1", "f", row(served=53))],
        )
    )
    assert (lines[0].open_before, lines[0].taken, lines[0].served_in_aim) == (2, 3, 5)
    assert lines[-1].balances


def test_inconsistent_counts_do_not_balance() -> None:
    lines = sum_cuts(cuts([document("r0", "e", row(open=2))], [document("r0", "e", row(open=1, taken=2))]))
    assert [line.balances for line in lines] == [False, False]


def test_report_has_a_line_per_namespace_and_a_total() -> None:
    lines = sum_cuts(
        cuts(
            [document("r0", "e", row("public"), row("municipal"))],
            [document("r0", "e", row("public", served=2), row("municipal", gone=1))],
        )
    )
    assert [(line.namespace, line.taken) for line in lines] == [("municipal", 1), ("public", 2), ("all", 3)]


def test_plot_shows_requests_taken_between_cuts() -> None:
    two_intervals = cuts(
        [document("r0", "e", row(served=1))],
        [document("r0", "e", row(served=4))],
        [document("r0", "e", row(served=4))],
    )
    assert taken_over_time(two_intervals) == {"public": [(NS_PER_S, 3), (2 * NS_PER_S, 0)]}
    assert "<polyline" in as_html(sum_cuts(two_intervals), taken_over_time(two_intervals), "a title")


# Commands


@contextmanager
def listener(served_document: dict[str, Any]) -> Iterator[str]:
    """A listener of a router that serves this document at /figures."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            body = json.dumps(served_document).encode()
            self.send_response(200 if self.path == "/figures" else 404)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: object) -> None:
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        yield f"127.0.0.1:{server.server_address[1]}"
    finally:
        server.shutdown()
        server.server_close()


def command(*arguments: str) -> Result:
    return CliRunner().invoke(main, ["figures", *arguments])


BREACH = {"number": 3, "kind": "a second final answer", "request": "q"}


def test_check_reports_breaches_by_exit_code(tmp_path: Path) -> None:
    with (
        listener(document("r0", "e", row(), unacknowledged=[])) as clean,
        listener(document("r1", "e", row(), unacknowledged=[BREACH])) as with_breach,
    ):
        assert command("check", clean).exit_code == 0
        result = command("check", clean, with_breach)
        assert result.exit_code == 1
        assert "r1: breach 3: a second final answer: q" in result.output
        assert command("check", with_breach, "127.0.0.1:1").exit_code == 1
        unreached = command("check", clean, "127.0.0.1:1")
        assert unreached.exit_code == 2
        assert "pebblepass: 127.0.0.1:1: " in unreached.output
    assert command("check", "nonsense").exit_code == 2


def test_report_on_collected_cuts_prints_a_balanced_table(tmp_path: Path) -> None:
    out, table, page = tmp_path / "cuts", tmp_path / "t.csv", tmp_path / "t.html"
    snapshot = tmp_path / "r1.figures.json"
    for number in (1, 4):
        snapshot.write_text(json.dumps(document("r1", "f", row("municipal", gone=number))))
        with listener(document("r0", "e", row(served=number, open=1))) as address:
            assert command("collect", address, str(snapshot), "--out", str(out)).exit_code == 0
    result = command("report", str(out), "--csv", str(table), "--html", str(page))
    assert result.exit_code == 0, result.output
    assert "the balance closes" in result.output
    rows = {entry["namespace"]: entry for entry in csv.DictReader(io.StringIO(table.read_text()))}
    assert (rows["public"]["taken"], rows["public"]["served in aim"], rows["public"]["closes"]) == (
        "3",
        "3",
        "yes",
    )
    assert rows["municipal"]["gone"] == "3"
    assert rows["all"]["taken"] == "6"
    assert "<table>" in page.read_text()


def test_collect_writes_reached_routers_and_names_unreached_ones(tmp_path: Path) -> None:
    out = tmp_path / "cuts"
    with listener(document("r0", "e", row())) as address:
        result = command("collect", address, "127.0.0.1:1", "--out", str(out))
    assert result.exit_code == 2
    cut = json.loads(out.read_text())
    assert [router["router"] for router in cut["routers"]] == ["r0"]
    assert len(cut["unreached"]) == 1


@pytest.mark.parametrize(
    ("text", "arguments", "message"),
    [
        ("", (), "a report needs at least two cuts in its period, found 0"),
        ("{", (), "line 1: "),
        ('{"unix_ns": 1, "routers": [{"router": "r0"}]}', (), "line 1: "),
        ("", ("--from", "yesterday"), "expected a time in ISO 8601, got 'yesterday'"),
    ],
)
def test_report_without_usable_cuts_fails_with_one_line(
    tmp_path: Path, text: str, arguments: tuple[str, ...], message: str
) -> None:
    file = tmp_path / "cuts"
    file.write_text(text)
    result = command("report", str(file), *arguments)
    assert result.exit_code == 2
    assert message in result.output
    assert len(result.output.splitlines()) == 1


def test_report_period_selects_cuts() -> None:
    lines = [json.dumps({"unix_ns": at * NS_PER_S, "routers": []}).encode() for at in range(5)]
    assert [cut.unix_ns // NS_PER_S for cut in read_cuts(lines, 1 * NS_PER_S, 3 * NS_PER_S)] == [1, 2, 3]
