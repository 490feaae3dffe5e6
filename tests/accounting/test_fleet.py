"""Figures over a fleet: cuts added up across restarts, and the command that does so."""

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

S = 1_000_000_000


def row(namespace: str = "public", **counts: int) -> dict[str, Any]:
    """One account; `served` are within the aim, and taken is what the others come to."""
    full = {**ROW, "namespace": namespace, "latency_us": []}
    for name in ("served", "refused", "failed", "gone", "open"):
        full[name] = counts.get(name, 0)
    full["served_in_aim"] = full["served"]
    full["taken"] = counts.get("taken", sum(counts.values()))
    return full


def document(router: str, epoch: str, *rows: dict[str, Any], **more: Any) -> dict[str, Any]:
    return {"router": router, "epoch": epoch, "breaches": 0, "figures": list(rows), **more}


def cuts(*moments: list[dict[str, Any]]) -> list[Cut]:
    lines = [
        json.dumps({"unix_ns": number * S, "routers": documents}).encode()
        for number, documents in enumerate(moments)
    ]
    return read_cuts(lines)


def test_what_passed_between_two_cuts_is_added_over_the_routers() -> None:
    lines = sum_cuts(
        cuts(
            [document("r0", "e", row(served=5, open=2)), document("r1", "f", row(served=1, open=1))],
            [document("r0", "e", row(served=9, refused=1, open=1)), document("r1", "f", row(served=4))],
        )
    )
    assert lines[0] == ReportLine(
        "public", "read", open_before=3, taken=6, served_in_aim=7, refused=1, open_after=1
    )
    assert all(line.closes for line in lines)


def test_a_new_epoch_begins_at_zero_and_what_was_open_is_unknown() -> None:
    lines = sum_cuts(
        cuts(
            [document("r0", "e", row(served=100, open=3))],
            [document("r0", "e", row(served=110, open=4))],
            [document("r0", "another", row(served=7, open=1))],
        )
    )
    assert (lines[0].taken, lines[0].served_in_aim) == (11 + 8, 10 + 7)
    assert (lines[0].unknown, lines[0].open_after) == (4, 1)
    assert lines[-1].closes


def test_a_router_that_comes_later_counts_from_its_first_cut() -> None:
    lines = sum_cuts(
        cuts(
            [document("r0", "e", row(served=1))],
            [document("r0", "e", row(served=2)), document("r1", "f", row(served=50, open=2))],
            [document("r0", "e", row(served=3)), document("r1", "f", row(served=53))],
        )
    )
    assert (lines[0].open_before, lines[0].taken, lines[0].served_in_aim) == (2, 3, 5)
    assert lines[-1].closes


def test_figures_that_went_astray_do_not_close() -> None:
    lines = sum_cuts(cuts([document("r0", "e", row(open=2))], [document("r0", "e", row(open=1, taken=2))]))
    assert [line.closes for line in lines] == [False, False]


def test_namespaces_stand_apart_and_in_the_total() -> None:
    lines = sum_cuts(
        cuts(
            [document("r0", "e", row("public"), row("municipal"))],
            [document("r0", "e", row("public", served=2), row("municipal", gone=1))],
        )
    )
    assert [(line.namespace, line.taken) for line in lines] == [("municipal", 1), ("public", 2), ("all", 3)]


def test_the_plot_shows_what_was_taken_from_cut_to_cut() -> None:
    held = cuts(
        [document("r0", "e", row(served=1))],
        [document("r0", "e", row(served=4))],
        [document("r0", "e", row(served=4))],
    )
    assert taken_over_time(held) == {"public": [(S, 3), (2 * S, 0)]}
    assert "<polyline" in as_html(sum_cuts(held), taken_over_time(held), "a morning")


# The command


@contextmanager
def listener(told: dict[str, Any]) -> Iterator[str]:
    """A router's listener that tells this at /figures."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            body = json.dumps(told).encode()
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


def command(*words: str) -> Result:
    return CliRunner().invoke(main, ["figures", *words])


BREACH = {"number": 3, "kind": "a second final answer", "request": "q"}


def test_check_tells_of_breaches_by_its_exit_code(tmp_path: Path) -> None:
    with (
        listener(document("r0", "e", row(), unacknowledged=[])) as sound,
        listener(document("r1", "e", row(), unacknowledged=[BREACH])) as breached,
    ):
        assert command("check", sound).exit_code == 0
        told = command("check", sound, breached)
        assert told.exit_code == 1
        assert "r1: breach 3: a second final answer: q" in told.output
        assert command("check", breached, "127.0.0.1:1").exit_code == 1
        gone = command("check", sound, "127.0.0.1:1")
        assert gone.exit_code == 2
        assert "pebblepass: 127.0.0.1:1: " in gone.output
    assert command("check", "nonsense").exit_code == 2


def test_collect_and_report_print_the_table_that_closes(tmp_path: Path) -> None:
    out, table, page = tmp_path / "cuts", tmp_path / "t.csv", tmp_path / "t.html"
    snapshot = tmp_path / "r1.figures.json"
    for number in (1, 4):
        snapshot.write_text(json.dumps(document("r1", "f", row("municipal", gone=number))))
        with listener(document("r0", "e", row(served=number, open=1))) as address:
            assert command("collect", address, str(snapshot), "--out", str(out)).exit_code == 0
    told = command("report", str(out), "--csv", str(table), "--html", str(page))
    assert told.exit_code == 0, told.output
    assert "the balance closes" in told.output
    rows = {entry["namespace"]: entry for entry in csv.DictReader(io.StringIO(table.read_text()))}
    assert (rows["public"]["taken"], rows["public"]["served in aim"], rows["public"]["closes"]) == (
        "3",
        "3",
        "yes",
    )
    assert rows["municipal"]["gone"] == "3"
    assert rows["all"]["taken"] == "6"
    assert "<table>" in page.read_text()


def test_collect_keeps_what_it_reached_and_says_what_it_did_not(tmp_path: Path) -> None:
    out = tmp_path / "cuts"
    with listener(document("r0", "e", row())) as address:
        told = command("collect", address, "127.0.0.1:1", "--out", str(out))
    assert told.exit_code == 2
    cut = json.loads(out.read_text())
    assert [held["router"] for held in cut["routers"]] == ["r0"]
    assert len(cut["unreached"]) == 1


@pytest.mark.parametrize(
    ("text", "words", "said"),
    [
        ("", (), "a report needs two cuts in its time, found 0"),
        ("{", (), "line 1: "),
        ('{"unix_ns": 1, "routers": [{"router": "r0"}]}', (), "line 1: "),
        ("", ("--from", "yesterday"), "not a time in ISO 8601: 'yesterday'"),
    ],
)
def test_a_report_that_cannot_be_made_is_one_line(
    tmp_path: Path, text: str, words: tuple[str, ...], said: str
) -> None:
    file = tmp_path / "cuts"
    file.write_text(text)
    told = command("report", str(file), *words)
    assert told.exit_code == 2
    assert said in told.output
    assert len(told.output.splitlines()) == 1


def test_a_report_on_a_part_of_the_time() -> None:
    lines = [json.dumps({"unix_ns": at * S, "routers": []}).encode() for at in range(5)]
    assert [cut.unix_ns // S for cut in read_cuts(lines, 1 * S, 3 * S)] == [1, 2, 3]
