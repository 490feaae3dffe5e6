"""One router, cache servers and an origin in virtual time; a function decides each attempt's outcome."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import unquote

import hiredis
import httptools

from pebblepass.accounting.ledger import Breach, Ledger
from pebblepass.daemon.config import read_config
from pebblepass.daemon.daemon import Daemon
from pebblepass.daemon.multi_get.registry import MultiGetRegistry
from pebblepass.emulators.listeners import LOOPBACK, EmulatorConnection, ListenerGroup, PendingReply
from pebblepass.emulators.observer import NullObserver
from pebblepass.emulators.ports import take_port
from pebblepass.emulators.registry import RegistryAgent
from pebblepass.operator_config import MultiGetSection
from pebblepass.simulation.clock import VirtualLoop
from pebblepass.wire.resp import bulk, command
from tests.sockets import SETTINGS, http_answer
from tests.virtual import run_virtual
from tests.virtual_router import Advertised, advertised_ms

NETWORK_DELAY_S = 0.001
SERVICE_TIME_S = 0.004
LONG_VALUE_BYTES = 4 << 20
Behavior = Callable[[str, str, int], str]
"""Returns an attempt's outcome: `silent`, `reset`, `slow` and a delay in seconds, or the name of a reply.

Arguments: the server's name, the key, and the number of attempts for the key at cache servers so far.
"""


def always_ok(server: str, key: str, count: int) -> str:
    return "ok"


class EmulatedServer(ListenerGroup):
    """A cache server or the origin; the deployment's behavior decides its reply to each key."""

    def __init__(self, deployment: Deployment, name: str, is_store: bool = False) -> None:
        super().__init__(deployment.loop, ("here",))
        self.deployment, self.name, self.is_store = deployment, name, is_store

    async def begin(self) -> None:
        await self.open(lambda _: StoreConnection(self) if self.is_store else NodeConnection(self))

    def next_outcome(self, key: str, request: str) -> str:
        deployment = self.deployment
        deployment.attempts.append((self.loop.time(), self.name, key, request))
        count = sum(
            1 for _, name, tried_key, _ in deployment.attempts if tried_key == key and name != "store"
        )
        return deployment.behavior(self.name, key, count)

    def record_advertised(self, request: str, info: bytes) -> None:
        """Record the remaining time that a request advertises, and when it arrived."""
        self.deployment.advertised.append(Advertised(self.loop.time(), request, advertised_ms(b"," + info)))

    def value(self, key: str, request: str) -> bytes:
        return f"{key} of {request.partition('.')[0]}".encode()


class NodeConnection(EmulatorConnection):
    def __init__(self, node: EmulatedServer) -> None:
        super().__init__(node, NETWORK_DELAY_S)
        self.node = node
        self.reader = hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (arguments := self.reader.gets()) is not False:
            self.node.record_advertised(arguments[-2].decode(), arguments[-1])
            if arguments[0] == b"KV.MGET":
                self.process_multi_get(arguments)
            else:
                self.process_get(arguments[1].decode(), arguments[2].decode(), self.reserve_reply())

    def process_get(self, key: str, request: str, pending: PendingReply) -> None:
        node, delay_s = self.node, SERVICE_TIME_S
        outcome = node.next_outcome(key, request)
        if outcome.startswith("slow"):
            delay_s, outcome = float(outcome[4:] or 0.15), "ok"
        replies = {
            "ok": b"*3\r\n%b$3\r\nhit\r\n$22\r\nlatency_ms=1.5,queue=2\r\n" % bulk(node.value(key, request)),
            "long": b"*3\r\n%b$3\r\nhit\r\n$-1\r\n"
            % bulk(node.value(key, request).ljust(LONG_VALUE_BYTES, b".")),
            "miss": b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n",
            "error": b"-ERR failed\r\n",
            "busy": b"-BUSY latency_ms=1.5,queue=2\r\n",
            "garbled": b"*3\r\n$9\r\nnot nine\r\n",
        }
        if outcome == "reset":
            self.node.loop.call_later(delay_s, self.reset)
        elif outcome != "silent":
            pending.answer(replies[outcome]) if delay_s == SERVICE_TIME_S else self.node.loop.call_later(
                delay_s, pending.answer, replies[outcome]
            )

    def process_multi_get(self, arguments: list[bytes]) -> None:
        """Reply with one array; no reply at all if any key is `silent`."""
        keys, request = arguments[2:-2], arguments[-2].decode()
        entries: list[bytes] = []
        self.node.deployment.multi_get_count += 1
        for key in keys:
            outcome = self.node.next_outcome(key.decode(), request)
            if outcome == "silent":
                return
            if outcome == "miss":
                entries.append(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
            elif outcome == "busy":
                entries.append(b"-BUSY\r\n")
            else:
                value = self.node.value(key.decode(), request)
                entries.append(b"*3\r\n%b$3\r\nhit\r\n$-1\r\n" % bulk(value))
        self.reserve_reply().answer(b"*%d\r\n%b" % (len(keys), b"".join(entries)))


class StoreConnection(EmulatorConnection):
    def __init__(self, store: EmulatedServer) -> None:
        super().__init__(store, NETWORK_DELAY_S)
        self.store = store
        self.parser = httptools.HttpRequestParser(self)
        self.target, self.request = b"", ""

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"request-id":
            self.request = value.decode()
        elif name.lower() == b"request-info":
            self.store.record_advertised(self.request, value)

    def on_message_complete(self) -> None:
        deployment, key = self.store.deployment, unquote(self.target[1:].decode())
        self.target = b""
        outcome, request, pending = (
            self.store.next_outcome(key, self.request),
            self.request,
            self.reserve_reply(),
        )
        if outcome == "silent":
            return
        deployment.fetches_in_flight += 1
        deployment.max_fetches_in_flight = max(deployment.max_fetches_in_flight, deployment.fetches_in_flight)
        replies = {
            "ok": http_answer(200, self.store.value(key, request)),
            "long": http_answer(200, self.store.value(key, request).ljust(LONG_VALUE_BYTES, b".")),
            "none": http_answer(404),
            "error": http_answer(500),
            "busy": http_answer(503, b"", "Not-Started: 1"),
        }
        self.store.loop.call_later(SERVICE_TIME_S, self.finish_fetch, pending, replies[outcome])

    def finish_fetch(self, pending: PendingReply, reply: bytes) -> None:
        self.store.deployment.fetches_in_flight -= 1
        pending.answer(reply)


class Deployment:
    """One router and its servers; `attempts` holds time, server name, key and request id of each attempt."""

    def __init__(
        self,
        loop: VirtualLoop,
        behavior: Behavior = always_ok,
        nodes: int = 4,
        section: MultiGetSection = MultiGetSection(),  # noqa: B008
        ceilings: dict[str, Any] | None = None,
        memory_mb: int = 192,
    ) -> None:
        self.loop, self.behavior, self.section = loop, behavior, section
        self.attempts: list[tuple[float, str, str, str]] = []
        self.advertised: list[Advertised] = []
        """The remaining time that each request to a server advertised; a multi-get counts once."""
        self.fetches_in_flight = self.max_fetches_in_flight = self.multi_get_count = 0
        self.nodes = [EmulatedServer(self, f"s{number}") for number in range(nodes)]
        self.store = EmulatedServer(self, "store", is_store=True)
        self.ceilings = {
            **SETTINGS["ceilings"],
            "streamsPerConn": 8,
            "secondCopies": True,
            **(ceilings or {}),
        }
        self.memory_mb = memory_mb
        self.breaches: list[Breach] = []
        self.replied_at: dict[str, float] = {}
        """When each command's reply was complete, by the command's id."""

    def entry(self, server: EmulatedServer, lifecycle: str = "up") -> dict[str, Any]:
        return {
            "instanceId": server.name,
            "hostPort": f"{LOOPBACK}:{server.ports['here']}",
            "zone": "a",
            "machineType": "origin" if server.is_store else "std",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def start(self) -> None:
        servers = [*self.nodes, self.store]
        for server in servers:
            await server.begin()
        self.agent = RegistryAgent(
            self.loop, "r0", [self.entry(server) for server in servers], NullObserver()
        )
        await self.agent.start()
        self.port = take_port()
        config_fields = {
            "name": "r0",
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{self.agent.address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": 1024},
            "settings": {**SETTINGS, "ceilings": self.ceilings},
        }
        config = read_config(config_fields, {})
        self.daemon = Daemon(self.loop, config, self.loop.unix_ns)
        self.daemon.enable_multi_get(self.section)
        self.host = self.daemon.host
        self.ledger = Ledger(
            {cls.name: cls.latency_target for cls in config.settings.classes}, ["acme"], self.breaches.append
        )
        self.host.ledger = self.ledger
        await self.daemon.start()
        await self.wait_until(lambda: self.host.ready)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        give_up_at = self.loop.time() + 30
        while not condition():
            assert self.loop.time() < give_up_at
            await asyncio.sleep(0.001)

    async def client(self) -> Client:
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        return Client(self, reader, writer)

    def stop(self) -> None:
        self.daemon.stop()
        self.agent.close()
        for server in [*self.nodes, self.store]:
            server.stop_accepting()
            server.reset_connections()

    def ledger_row(self) -> dict[str, Any]:
        """Return the ledger's row for the class `get`."""
        (row,) = [row for row in self.ledger.export_rows() if row["class"] == "get"] or [{}]
        return row

    async def settle(self) -> None:
        """Wait until no request is open, and check the invariants of every run."""
        await self.wait_until(lambda: not self.host.open_request_count)
        await asyncio.sleep(3.0)  # an attempt may outlast its request's answer by up to this time
        self.ledger.audit(self.host.now(), 0, self.host.open_requests())
        assert self.breaches == []
        assert self.host.free_capacity == self.ceilings["maxOpen"]
        registry = self.host.multi_gets
        assert isinstance(registry, MultiGetRegistry)
        assert (len(registry.allocator), registry.allocator.memory) == (0, 0)
        attempt_counts = Counter(request for _, _, _, request in self.attempts)
        assert max(attempt_counts.values(), default=0) <= self.ceilings["mostTries"] or self.multi_get_count
        for at, _, _, request in self.attempts:
            # Nothing is sent after a request's final answer; an attempt arrives after the network delay.
            assert at <= self.replied_at.get(request.rpartition(".")[0], at) + 2 * NETWORK_DELAY_S


class Client:
    """A client's connection to the router."""

    def __init__(
        self, deployment: Deployment, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.deployment, self.reader, self.writer = deployment, reader, writer
        self.replies = hiredis.Reader()

    def send(self, *words: bytes) -> None:
        self.writer.write(command(*words))

    def send_multi_get(
        self, keys: list[str], request: str = "q", d: int = 1000, extra_fields: str = ""
    ) -> None:
        info = f"c=get,t=acme,d={d}{extra_fields}".encode()
        encoded = [key.encode() for key in keys]
        self.send(b"KV.MGET", b"%d" % len(keys), *encoded, request.encode(), info)

    def send_get(self, key: str, request: str, d: int = 1000) -> None:
        self.send(b"KV.GET", key.encode(), request.encode(), f"c=get,t=acme,d={d}".encode())

    async def read_reply(self) -> Any:
        while (reply := self.replies.gets()) is False:
            data = await asyncio.wait_for(self.reader.read(1 << 16), 30)
            if not data:
                return EOFError
            self.replies.feed(data)
        return reply

    async def multi_get(self, keys: list[str], request: str = "q", d: int = 1000) -> Any:
        self.send_multi_get(keys, request, d)
        reply = await self.read_reply()
        self.deployment.replied_at[request] = self.deployment.loop.time()
        return reply

    def close(self) -> None:
        self.writer.close()


def entry_labels(reply: list[Any]) -> list[str]:
    """Return a label for each entry of a reply: the value's text, or miss, refused, failed or late."""
    labels = []
    for entry in reply:
        if entry is None:
            labels.append("miss")
        elif isinstance(entry, bytes):
            labels.append(entry.rstrip(b".").decode())
        else:
            labels.append({"BUSY": "refused", "ERR": "failed", "LATE": "late"}[str(entry).split()[0]])
    return labels


def expected_values(keys: list[str], request: str = "q") -> list[str]:
    return [f"{key} of {request}" for key in keys]


def run_on_deployment(test: Callable[[Deployment], Awaitable[None]], **options: Any) -> None:
    """Run a test on a new deployment, and check the invariants of every run at its end."""

    async def run(loop: VirtualLoop) -> None:
        loop_errors: list[dict[str, Any]] = []
        loop.set_exception_handler(lambda _, context: loop_errors.append(context))
        deployment = Deployment(loop, **options)
        await deployment.start()
        try:
            await test(deployment)
            await deployment.settle()
        finally:
            deployment.stop()
            await asyncio.sleep(0)
        assert loop_errors == [], loop_errors

    run_virtual(run)
