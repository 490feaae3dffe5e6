"""One router in this process, in virtual time, between servers and clients that the test controls.

A test decides when a server answers, closes or resets a connection, and when a dial may complete. No time
passes while bytes travel, so a test also decides what is still unread when the router acts.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple, cast

from pebblepass.daemon.config import read_config
from pebblepass.daemon.daemon import Daemon
from pebblepass.decisions import ListKind, Server, ServersChanged, ServerState
from pebblepass.discovery.endpoint_list import EndpointList
from pebblepass.simulation.clock import VirtualLoop
from pebblepass.wire.address import Address
from tests.sockets import MISS, SETTINGS, bulk, hit, http_answer

SETTLE_ITERATIONS = 24  # of the event loop, enough to deliver all bytes in flight; no virtual time passes
ADDRESS = "127.0.0.1"
LONG_DIALS = {"ceilings": {"mostTries": 4, "dialTimeoutNs": 5 * 10**9, "idleCloseNs": 10**10}}


class GatedLoop(VirtualLoop):
    """Holds dials to the addresses in `gates` until their event is set."""

    def __init__(self) -> None:
        super().__init__()
        self.gates: dict[Address, asyncio.Event] = {}

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Wait for the address's event, if it has one, and then connect."""
        if (gate := self.gates.get((host, port))) is not None:
            await gate.wait()
        return await super().create_connection(protocol_factory, host, port, **more)


class Advertised(NamedTuple):
    """The timeout that one request advertised to its server."""

    at: float
    request: str
    timeout_ms: int


def advertised_ms(request: bytes) -> int:
    """Return the value of `d` in a complete command or HTTP request, which must have exactly one."""
    (found,) = re.findall(rb"[\n ,]d=(\d+)", request)
    return int(found)


class PeerConnection(asyncio.Protocol):
    """One connection of the router, at the peer's end."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.buffered = b""
        self.request_ids: list[str] = []
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.peer.connections.append(self)
        self.peer.on_accept(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.peer.connections.remove(self)

    def data_received(self, data: bytes) -> None:
        self.buffered += data
        while (found := self.peer.split_request(self.buffered)) is not None:
            name, rest = found
            request = self.buffered[: len(self.buffered) - len(rest)]
            self.buffered = rest
            self.request_ids.append(name)
            self.peer.advertised.append(Advertised(self.peer.loop.time(), name, advertised_ms(request)))
            self.peer.requests.append((self.peer.loop.time(), name))
            self.peer.on_request(self, name)

    def reset(self) -> None:
        """Reset the connection, as happens when its process dies."""
        self.transport.get_extra_info("socket").setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        self.transport.abort()


class Peer:
    """A cache server or the origin.

    `on_request` is called with each complete request and its id; by default it sends no answer.
    """

    def __init__(self, loop: GatedLoop, name: str, is_http: bool = False) -> None:
        self.loop, self.name, self.is_http = loop, name, is_http
        self.connections: list[PeerConnection] = []
        self.requests: list[tuple[float, str]] = []
        """The time at which each request was complete, and its id."""
        self.advertised: list[Advertised] = []
        """The timeout that each of them advertised."""
        self.on_request: Callable[[PeerConnection, str], None] = lambda connection, name: None
        self.on_accept: Callable[[PeerConnection], None] = lambda connection: None
        self.address: Address = (ADDRESS, 0)

    async def open(self) -> None:
        server = await self.loop.create_server(lambda: PeerConnection(self), ADDRESS, 0)
        self.address = server.sockets[0].getsockname()

    def split_request(self, data: bytes) -> tuple[str, bytes] | None:
        """Return the id of the first complete request, and the bytes after it; None if it is incomplete."""
        if self.is_http:
            head, end, rest = data.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or b"0")
            if not end or len(rest) < length:
                return None
            return head.partition(b"Request-Id: ")[2].partition(b"\r\n")[0].decode(), rest[length:]
        parts = data.split(b"\r\n", 8)
        if len(parts) < 9:
            return None
        size = sum(len(part) + 2 for part in parts[:7]) + int(parts[7][1:]) + len(parts[7]) + 4
        return (parts[6].decode(), data[size:]) if len(data) >= size else None

    @property
    def request_ids(self) -> list[str]:
        return [name for _, name in self.requests]

    def connection_of(self, name: str) -> PeerConnection:
        """Return the connection on which this request was received."""
        return next(connection for connection in self.connections if name in connection.request_ids)

    def answer(self, name: str, value: bytes | None = None) -> bytes:
        """Return a hit, or a status 200 of the origin, for this request."""
        value = f"value of {name}".encode() if value is None else value
        return http_answer(200, value) if self.is_http else hit(value)

    def serve(self, connection: PeerConnection, name: str) -> None:
        """Send `answer` at once; usable as `on_request`."""
        connection.transport.write(self.answer(name))

    def miss(self, connection: PeerConnection, name: str) -> None:
        """Send a miss at once; usable as `on_request`."""
        connection.transport.write(MISS)


class VirtualClient(asyncio.Protocol):
    """A client's connection, and what it has received."""

    def __init__(self) -> None:
        self.received = b""
        self.closed = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True

    def send_request(
        self, name: str, cls: str = "get", d: int = 2000, key: str = "k", value: bytes | None = None
    ) -> None:
        """Send a complete request."""
        self.transport.write(encode_request(name, cls, d, key, value))

    def replies(self) -> list[bytes]:
        """Return all complete replies: the bytes of a bulk string, or the line without its end."""
        found, rest = [], self.received
        while rest:
            line, end, behind = rest.partition(b"\r\n")
            if not end:
                break
            if line.startswith(b"$") and line != b"$-1":
                size = int(line[1:])
                if len(behind) < size + 2:
                    break
                line, behind = behind[:size], behind[size + 2 :]
            found.append(line)
            rest = behind
        return found


def encode_request(
    name: str, cls: str = "get", d: int = 2000, key: str = "k", value: bytes | None = None
) -> bytes:
    """Encode a read, or a write of `value`; `name` is the request id and `d` the timeout in milliseconds."""
    info = f"c={cls},t=acme,d={d},k=5c".encode()
    if value is None:
        return bulk(b"KV.GET", key.encode(), name.encode(), info)
    return bulk(b"KV.SET", key.encode(), name.encode(), info, value)


class RouterHarness:
    """A router and its peers."""

    def __init__(self, loop: GatedLoop, daemon: Daemon, caches: Mapping[str, Peer], origin: Peer) -> None:
        self.loop, self.daemon, self.caches, self.origin = loop, daemon, caches, origin
        self.generation = 0
        self.port = 0
        self.cells: dict[str, tuple[str, int]] = {}
        """Zone and cell of each server that is not in cell 0 of zone a."""

    @property
    def host(self) -> Any:
        return self.daemon.host

    @property
    def pool(self) -> Any:
        return self.daemon._pool

    def update_servers(self, *names: str, state: ServerState = ServerState.READY, full: bool = False) -> bool:
        """Send the router a full endpoint list or a change of it; return whether it could apply it."""
        self.generation += 1
        peers = {**self.caches, "origin": self.origin}
        servers = tuple(
            Server(name, "origin" if name == "origin" else "std", state, zone=zone, cell=cell)
            for name in names
            for zone, cell in [self.cells.get(name, ("a", 0))]
        )
        kind = ListKind.FULL if full else ListKind.DELTA
        applied: bool = self.host.servers_changed(
            EndpointList(
                self.generation,
                ServersChanged(kind, servers),
                {name: peers[name].address for name in names},
            )
        )
        return applied

    async def client(self) -> VirtualClient:
        """Connect a client to the router."""
        _, client = await self.loop.create_connection(VirtualClient, ADDRESS, self.port)
        return cast(VirtualClient, client)

    async def settle(self) -> None:
        """Deliver all bytes in flight; no virtual time passes."""
        for _ in range(SETTLE_ITERATIONS):
            await asyncio.sleep(0)

    async def wait(self, seconds: float) -> None:
        """Wait in virtual time, and then deliver all bytes in flight."""
        await asyncio.sleep(seconds)
        await self.settle()

    @property
    def requests(self) -> list[tuple[float, str, str]]:
        """The time, the server and the id of each request that a server has received completely."""
        peers = [*self.caches.values(), self.origin]
        return sorted((at, peer.name, name) for peer in peers for at, name in peer.requests)

    def assert_nothing_left(self) -> None:
        """Check that no request, attempt, count of attempts, busy connection or memory is left."""
        host, pool = self.host, self.pool
        module = host._router
        assert host._requests == {}
        assert host.open_request_count == 0
        assert module.open_requests.by_id == {}
        assert len(module.flights) == 0
        assert module.fetch_queue.request_ids() == []
        nodes = [*module.caches.nodes.values(), *module.origins.nodes.values()]
        assert {node.entry.id: node.attempts_in_flight for node in nodes if node.attempts_in_flight} == {}
        servers = list(pool._servers.values())
        assert all(not server.waiting for server in servers)
        assert pool._connection_count == sum(server.connection_count for server in servers)
        assert pool.busy == 0
        assert self.daemon.clients.memory.used == 0


def run_with_router(
    test: Callable[[RouterHarness], Awaitable[None]],
    caches: tuple[str, ...] = ("a",),
    settings: Mapping[str, Any] | None = None,
    daemon_class: type[Daemon] = Daemon,
    **limits: float,
) -> None:
    """Run a test with a router whose endpoint list names these cache servers and an origin.

    `settings` and `limits` override single entries of the configuration.
    """

    async def main() -> None:
        loop = cast(GatedLoop, asyncio.get_running_loop())
        config = {
            "listen": f"{ADDRESS}:1",
            "discovery": f"{ADDRESS}:2",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, **limits},
            "settings": {**SETTINGS, **(settings or {})},
        }
        daemon = daemon_class(loop, read_config(config, {}), loop.unix_ns)
        peers = {name: Peer(loop, name) for name in caches}
        harness = RouterHarness(loop, daemon, peers, Peer(loop, "origin", is_http=True))
        for peer in (*peers.values(), harness.origin):
            await peer.open()
        await daemon.clients.listen((ADDRESS, 0))
        listener = daemon.clients._listener
        assert listener is not None
        harness.port = listener.sockets[0].getsockname()[1]
        harness.update_servers(*caches, "origin", full=True)
        daemon.host.ready = True
        try:
            await test(harness)
        finally:
            daemon.stop()
            await harness.settle()

    with asyncio.Runner(loop_factory=GatedLoop) as runner:
        runner.run(main())
