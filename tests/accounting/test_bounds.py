"""Guards against one thread and one socket per router when a large fleet is fetched."""

from __future__ import annotations

import threading

import pytest

from pebblepass.accounting import commands

ROUTERS = 9 * commands.MAX_CONCURRENT_FETCHES


def test_fetch_of_many_routers_uses_a_bounded_number_of_threads(monkeypatch: pytest.MonkeyPatch) -> None:
    # Each call waits until the maximum number of calls is running, so that every thread takes part.
    all_threads_running = threading.Barrier(commands.MAX_CONCURRENT_FETCHES)
    threads = set()

    def fetch_document(router: str) -> dict[str, str]:
        all_threads_running.wait(timeout=20)
        threads.add(threading.get_ident())
        return {"router": router}

    monkeypatch.setattr(commands, "fetch_document", fetch_document)
    routers = tuple(f"r{number}" for number in range(ROUTERS))
    documents, unreached = commands.fetch_all(routers)
    assert [document["router"] for document in documents] == list(routers)
    assert unreached == []
    assert len(threads) <= commands.MAX_CONCURRENT_FETCHES <= 128
