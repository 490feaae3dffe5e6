"""A process that comes up at the address of one that has gone is not taken for it."""

from __future__ import annotations

from pebblepass.decisions import ListKind, Server, ServersChanged
from pebblepass.discovery.endpoint_list import EndpointList
from tests.virtual_router import RouterHarness, run_with_router

STARTED = 10**9


def list_caches(harness: RouterHarness, *caches: tuple[str, str, int]) -> None:
    """List caches, each with its id, the peer at whose address it is, and its start."""
    harness.generation += 1
    servers = tuple(Server(name, "std", started=started) for name, _, started in caches)
    addresses = {name: harness.caches[peer].address for name, peer, _ in caches}
    change = ServersChanged(ListKind.DELTA, servers)
    assert harness.host.servers_changed(EndpointList(harness.generation, change, addresses))


def test_connection_to_the_process_before_a_restart_is_not_used_again() -> None:
    """Guards against a request that is sent to a process that has gone without closing its connections."""

    async def test(harness: RouterHarness) -> None:
        cache = harness.caches["a"]
        cache.on_request = cache.serve
        client = await harness.client()
        client.send_request("before")
        await harness.wait(0.1)
        (old,) = cache.connections
        list_caches(harness, ("a", "a", STARTED))
        client.send_request("after")
        await harness.wait(0.1)
        assert client.replies() == [b"value of before", b"value of after"]
        assert "after" not in old.request_ids
        harness.assert_nothing_left()

    run_with_router(test)


def test_list_that_names_the_same_start_again_closes_no_connection() -> None:
    async def test(harness: RouterHarness) -> None:
        cache = harness.caches["a"]
        cache.on_request = cache.serve
        list_caches(harness, ("a", "a", STARTED))
        client = await harness.client()
        for number in range(2):
            client.send_request(f"r{number}")
            await harness.wait(0.1)
            list_caches(harness, ("a", "a", STARTED + 1))
        (connection,) = cache.connections
        assert connection.request_ids == ["r0", "r1"]

    run_with_router(test)


def test_work_of_a_server_that_has_gone_is_not_sent_to_its_successor_at_the_same_address() -> None:
    """Guards against a new process that gets the requests of the one before it, which is still listed."""

    async def test(harness: RouterHarness) -> None:
        for cache in harness.caches.values():
            cache.on_request = cache.serve
        list_caches(harness, ("new", "a", STARTED))
        assert dict(harness.pool.addresses()).keys() == {"new", "b", "origin"}
        client = await harness.client()
        for number in range(20):
            client.send_request(f"r{number}", key=f"k{number}")
            await harness.wait(0.05)
        assert len(client.replies()) == 20
        assert all(connection.request_ids for connection in harness.caches["a"].connections)
        assert {server.id for server in harness.pool._servers.values() if server.connections} <= {
            "new",
            "b",
            "origin",
        }
        list_caches(harness, ("a", "b", 2 * STARTED))
        assert dict(harness.pool.addresses()).keys() == {"new", "a", "origin"}

    run_with_router(test, ("a", "b"))
