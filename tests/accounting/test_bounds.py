"""The figures of 1,100 routers are asked for by a bounded number of threads, and so of sockets."""

from __future__ import annotations

import threading

import pytest

from pebblepass.accounting import commands

ROUTERS = 9 * commands.AT_ONCE


def test_so_many_routers_are_asked_by_few_threads(monkeypatch: pytest.MonkeyPatch) -> None:
    # Each call waits until as many are under way as there may be: so all of them take part.
    full = threading.Barrier(commands.AT_ONCE)
    threads = set()

    def ask(router: str) -> dict[str, str]:
        full.wait(timeout=20)
        threads.add(threading.get_ident())
        return {"router": router}

    monkeypatch.setattr(commands, "ask", ask)
    routers = tuple(f"r{number}" for number in range(ROUTERS))
    documents, unreached = commands.ask_all(routers)
    assert [each["router"] for each in documents] == list(routers)
    assert unreached == []
    assert len(threads) <= commands.AT_ONCE <= 128
