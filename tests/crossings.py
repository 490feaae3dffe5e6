"""One router in this process, in virtual time, and peers scripted to the byte: the test says what crosses.

Peers answer, end and reset when told to; dials stand at a gate; both ends of every socket are counted, so
that a test says what stands unread when a line of the router runs.
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
from tests.sockets import FACTS, MISS, bulk, hit, http_answer

SETTLED = 24  # turns in which all that is under way has come: nothing here takes virtual time
ADDRESS = "127.0.0.1"
LONG_DIALS = {"ceilings": {"mostTries": 4, "dialTimeoutNs": 5 * 10**9, "idleCloseNs": 10**10}}


class GatedLoop(VirtualLoop):
    """Dials to some addresses come up only once the gate opens."""

    def __init__(self) -> None:
        super().__init__()
        self.gates: dict[Address, asyncio.Event] = {}

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Wait at the gate first."""
        if (gate := self.gates.get((host, port))) is not None:
            await gate.wait()
        return await super().create_connection(protocol_factory, host, port, **more)


class Advertised(NamedTuple):
    """The time that a request advertises to its server."""

    at: float
    request: str
    timeout_ms: int


def advertised_ms(request: bytes) -> int:
    """The value of `d` in a whole command or HTTP request; exactly one has to be there."""
    (found,) = re.findall(rb"[\n ,]d=(\d+)", request)
    return int(found)


class PeerLine(asyncio.Protocol):
    """A connection of the router's at a peer."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.held = b""
        self.asked: list[str] = []
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.peer.lines.append(self)
        self.peer.accepted(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.peer.lines.remove(self)

    def data_received(self, data: bytes) -> None:
        self.held += data
        while (cut := self.peer.cut(self.held)) is not None:
            name, rest = cut
            request = self.held[: len(self.held) - len(rest)]
            self.held = rest
            self.asked.append(name)
            self.peer.advertised.append(Advertised(self.peer.loop.time(), name, advertised_ms(request)))
            self.peer.seen.append((self.peer.loop.time(), name))
            self.peer.came(self, name)

    def reset(self) -> None:
        """Break it as the end of a process does."""
        self.transport.get_extra_info("socket").setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        self.transport.abort()


class Peer:
    """A cache or the origin. `came` is called for each whole request; the default says nothing."""

    def __init__(self, loop: GatedLoop, name: str, is_http: bool = False) -> None:
        self.loop, self.name, self.is_http = loop, name, is_http
        self.lines: list[PeerLine] = []
        self.seen: list[tuple[float, str]] = []
        """When each request came whole, and whose it was."""
        self.advertised: list[Advertised] = []
        """The time that each of them advertised."""
        self.came: Callable[[PeerLine, str], None] = lambda line, name: None
        self.accepted: Callable[[PeerLine], None] = lambda line: None
        self.address: Address = (ADDRESS, 0)

    async def open(self) -> None:
        server = await self.loop.create_server(lambda: PeerLine(self), ADDRESS, 0)
        self.address = server.sockets[0].getsockname()

    def cut(self, held: bytes) -> tuple[str, bytes] | None:
        """The id of the first whole request, and what stands behind it."""
        if self.is_http:
            head, end, rest = held.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or b"0")
            if not end or len(rest) < length:
                return None
            return head.partition(b"Request-Id: ")[2].partition(b"\r\n")[0].decode(), rest[length:]
        parts = held.split(b"\r\n", 8)
        if len(parts) < 9:
            return None
        whole = sum(len(part) + 2 for part in parts[:7]) + int(parts[7][1:]) + len(parts[7]) + 4
        return (parts[6].decode(), held[whole:]) if len(held) >= whole else None

    @property
    def names(self) -> list[str]:
        return [name for _, name in self.seen]

    def line(self, name: str) -> PeerLine:
        """The connection on which this request came."""
        return next(line for line in self.lines if name in line.asked)

    def answer(self, name: str, value: bytes | None = None) -> bytes:
        """A good answer for this request."""
        value = f"value of {name}".encode() if value is None else value
        return http_answer(200, value) if self.is_http else hit(value)

    def serve(self, line: PeerLine, name: str) -> None:
        """Answer well, at once."""
        line.transport.write(self.answer(name))

    def miss(self, line: PeerLine, name: str) -> None:
        line.transport.write(MISS)


class ClientLine(asyncio.Protocol):
    """A client's connection, and what came on it."""

    def __init__(self) -> None:
        self.came = b""
        self.ended = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.came += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True

    def ask(
        self, name: str, cls: str = "get", d: int = 2000, key: str = "k", value: bytes | None = None
    ) -> None:
        """Send a request whole."""
        self.transport.write(asked(name, cls, d, key, value))

    def answers(self) -> list[bytes]:
        """All whole answers: a bulk string's bytes, or the line as it stands."""
        found, rest = [], self.came
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


def asked(name: str, cls: str = "get", d: int = 2000, key: str = "k", value: bytes | None = None) -> bytes:
    told = f"c={cls},t=acme,d={d},k=5c".encode()
    if value is None:
        return bulk(b"KV.GET", key.encode(), name.encode(), told)
    return bulk(b"KV.SET", key.encode(), name.encode(), told, value)


class Bed:
    """A router and its peers."""

    def __init__(self, loop: GatedLoop, daemon: Daemon, caches: Mapping[str, Peer], origin: Peer) -> None:
        self.loop, self.daemon, self.caches, self.origin = loop, daemon, caches, origin
        self.generation = 0
        self.port = 0
        self.cells: dict[str, tuple[str, int]] = {}
        """Zones and cells of the servers that are not in cell 0 of zone a."""

    @property
    def host(self) -> Any:
        return self.daemon.host

    @property
    def pool(self) -> Any:
        return self.daemon._pool

    def tell(self, *names: str, state: ServerState = ServerState.READY, whole: bool = False) -> bool:
        """Tell the router of these servers; whether it could take that."""
        self.generation += 1
        peers = {**self.caches, "origin": self.origin}
        servers = tuple(
            Server(name, "origin" if name == "origin" else "std", state, zone=zone, cell=cell)
            for name in names
            for zone, cell in [self.cells.get(name, ("a", 0))]
        )
        kind = ListKind.FULL if whole else ListKind.DELTA
        taken: bool = self.host.servers_changed(
            EndpointList(
                self.generation,
                ServersChanged(kind, servers),
                {name: peers[name].address for name in names},
            )
        )
        return taken

    async def client(self) -> ClientLine:
        _, line = await self.loop.create_connection(ClientLine, ADDRESS, self.port)
        return cast(ClientLine, line)

    async def settle(self) -> None:
        """Let all that is under way come; virtual time stands still."""
        for _ in range(SETTLED):
            await asyncio.sleep(0)

    async def wait(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self.settle()

    @property
    def seen(self) -> list[tuple[float, str, str]]:
        """All requests that came whole to any server: when, where, whose."""
        peers = [*self.caches.values(), self.origin]
        return sorted((at, peer.name, name) for peer in peers for at, name in peer.seen)

    def nothing_held(self) -> None:
        """Check that no request, attempt, count or place is left behind."""
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


def crossing(
    test: Callable[[Bed], Awaitable[None]],
    caches: tuple[str, ...] = ("a",),
    facts: Mapping[str, Any] | None = None,
    daemon_class: type[Daemon] = Daemon,
    **limits: float,
) -> None:
    """Run a test over a router whose list names these caches and an origin."""

    async def main() -> None:
        loop = cast(GatedLoop, asyncio.get_running_loop())
        told = {
            "listen": f"{ADDRESS}:1",
            "discovery": f"{ADDRESS}:2",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, **limits},
            "settings": {**FACTS, **(facts or {})},
        }
        daemon = daemon_class(loop, read_config(told, {}), loop.unix_ns)
        peers = {name: Peer(loop, name) for name in caches}
        bed = Bed(loop, daemon, peers, Peer(loop, "origin", is_http=True))
        for peer in (*peers.values(), bed.origin):
            await peer.open()
        await daemon.clients.listen((ADDRESS, 0))
        listener = daemon.clients._listener
        assert listener is not None
        bed.port = listener.sockets[0].getsockname()[1]
        bed.tell(*caches, "origin", whole=True)
        daemon.host.ready = True
        try:
            await test(bed)
        finally:
            daemon.stop()
            await bed.settle()

    with asyncio.Runner(loop_factory=GatedLoop) as runner:
        runner.run(main())
