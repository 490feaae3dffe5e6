"""The figures of 1,100 routers are asked for by a bounded number of threads, and so of sockets."""

from __future__ import annotations

import threading

import pytest

from pebblepass.accounting import commands

ROUTERS = 9 * commands.MAX_CONCURRENT_FETCHES


def test_so_many_routers_are_asked_by_few_threads(monkeypatch: pytest.MonkeyPatch) -> None:
    # Each call waits until as many are under way as there may be: so all of them take part.
    full = threading.Barrier(commands.MAX_CONCURRENT_FETCHES)
    threads = set()

    def fetch_document(router: str) -> dict[str, str]:
        full.wait(timeout=20)
        threads.add(threading.get_ident())
        return {"router": router}

    monkeypatch.setattr(commands, "fetch_document", fetch_document)
    routers = tuple(f"r{number}" for number in range(ROUTERS))
    documents, unreached = commands.fetch_all(routers)
    assert [each["router"] for each in documents] == list(routers)
    assert unreached == []
    assert len(threads) <= commands.MAX_CONCURRENT_FETCHES <= 128
