"""Connections that send nothing take no place from clients that send one request after another."""

from __future__ import annotations

import pytest

from tests.virtual_router import RouterHarness, VirtualClient, run_with_router

REST_S = 0.05
"""The pause of a client between an answer and its next request."""


@pytest.mark.parametrize("spread_s", [0.0, 0.001, 0.01])
def test_crowd_of_silent_connections_closes_no_client_that_goes_on(spread_s: float) -> None:
    """Guards against requests that meet a connection closed for a newcomer without a byte."""

    async def test(harness: RouterHarness) -> None:
        cache = harness.caches["a"]
        cache.on_request, harness.origin.on_request = cache.serve, harness.origin.serve
        clients = [await harness.client() for _ in range(6)]
        turns = 10
        silent: list[VirtualClient] = []
        for turn in range(turns):
            for number, client in enumerate(clients):
                client.send_request(f"q{number}.{turn}")
            await harness.wait(REST_S / 2)
            if turn in (3, 6):
                for _ in range(3 * harness.daemon.clients.limit):
                    silent.append(await harness.client())
                    await harness.wait(spread_s)
            await harness.wait(REST_S / 2)
        assert [len(client.replies()) for client in clients] == [turns] * len(clients)
        assert not any(client.closed for client in clients)
        assert sum(client.closed for client in silent) > harness.daemon.clients.limit
        for client in (*clients, *silent):
            client.transport.close()

    run_with_router(test, sockets=100)


def test_client_that_rests_for_long_makes_room_for_one_that_asks() -> None:
    """Places are not kept for clients that have stopped."""

    async def test(harness: RouterHarness) -> None:
        cache = harness.caches["a"]
        cache.on_request, harness.origin.on_request = cache.serve, harness.origin.serve
        limit = harness.daemon.clients.limit
        resting = [await harness.client() for _ in range(limit)]
        for turn in range(2):
            for number, client in enumerate(resting):
                client.send_request(f"r{number}.{turn}")
            await harness.wait(0.1)
        await harness.wait(0.3)
        newcomer = await harness.client()
        newcomer.send_request("n")
        await harness.wait(0.1)
        assert len(newcomer.replies()) == 1
        assert sum(client.closed for client in resting) == 1
        for client in (newcomer, *resting):
            client.transport.close()

    run_with_router(test, sockets=100)


def test_lower_limit_closes_as_many_clients_that_go_on_as_it_must() -> None:
    """Guards against two processes of an upgrade that together exceed the descriptors of one."""

    async def test(harness: RouterHarness) -> None:
        cache, server = harness.caches["a"], harness.daemon.clients
        cache.on_request, harness.origin.on_request = cache.serve, harness.origin.serve
        clients = [await harness.client() for _ in range(server.limit)]
        for turn in range(2):
            for number, client in enumerate(clients):
                client.send_request(f"q{number}.{turn}")
            await harness.wait(REST_S)
        server.limit -= 5
        await harness.settle()
        assert sum(client.closed for client in clients) == 5
        assert server.connected == server.limit
        for client in clients:
            client.transport.close()

    run_with_router(test, sockets=100)
