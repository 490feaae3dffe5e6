"""A router, nodes and a store in virtual time, where each key's fate is told beforehand."""

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
from pebblepass.emulators.listening import LOOPBACK, Line, Place, Station
from pebblepass.emulators.ports import take_port
from pebblepass.emulators.registry import RegistryAgent
from pebblepass.emulators.witness import Nobody
from pebblepass.operator_config import MultiGetSection
from pebblepass.simulation.clock import VirtualLoop
from pebblepass.wire.resp import bulk, command
from tests.sockets import SETTINGS, http_answer
from tests.virtual import run_virtual
from tests.virtual_router import Advertised, advertised_ms

WAY_S = 0.001
WORK_S = 0.004
LONG = 4 << 20
Fate = Callable[[str, str, int], str]
"""What becomes of a key at a place, the nth time that it is asked at a node: a word that `Served` knows."""


def well(place: str, key: str, time: int) -> str:
    return "ok"


class Served(Station):
    """A node or the store: answers each key as its fate says."""

    def __init__(self, site: Site, name: str, is_store: bool = False) -> None:
        super().__init__(site.loop, ("here",))
        self.site, self.name, self.is_store = site, name, is_store

    async def begin(self) -> None:
        await self.open(lambda _: StoreLine(self) if self.is_store else NodeLine(self))

    def fate(self, key: str, request: str) -> str:
        site = self.site
        site.attempts.append((self.loop.time(), self.name, key, request))
        times = sum(1 for _, name, asked, _ in site.attempts if asked == key and name != "store")
        return site.fate(self.name, key, times)

    def advertised(self, request: str, info: bytes) -> None:
        """Note the time that a request advertises, as it was when its bytes were written."""
        self.site.advertised.append(Advertised(self.loop.time(), request, advertised_ms(b"," + info)))

    def value(self, key: str, request: str) -> bytes:
        return f"{key} of {request.partition('.')[0]}".encode()


class NodeLine(Line):
    def __init__(self, node: Served) -> None:
        super().__init__(node, WAY_S)
        self.node = node
        self.reader = hiredis.Reader()

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (words := self.reader.gets()) is not False:
            self.node.advertised(words[-2].decode(), words[-1])
            if words[0] == b"KV.MGET":
                self.asked_many(words)
            else:
                self.asked(words[1].decode(), words[2].decode(), self.place())

    def asked(self, key: str, request: str, place: Place) -> None:
        node, after = self.node, WORK_S
        fate = node.fate(key, request)
        if fate.startswith("slow"):
            after, fate = float(fate[4:] or 0.15), "ok"
        answers = {
            "ok": b"*3\r\n%b$3\r\nhit\r\n$22\r\nlatency_ms=1.5,queue=2\r\n" % bulk(node.value(key, request)),
            "long": b"*3\r\n%b$3\r\nhit\r\n$-1\r\n" % bulk(node.value(key, request).ljust(LONG, b".")),
            "miss": b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n",
            "error": b"-ERR failed\r\n",
            "busy": b"-BUSY latency_ms=1.5,queue=2\r\n",
            "garbled": b"*3\r\n$9\r\nnot nine\r\n",
        }
        if fate == "reset":
            self.node.loop.call_later(after, self.reset)
        elif fate != "silent":
            place.answer(answers[fate]) if after == WORK_S else self.node.loop.call_later(
                after, place.answer, answers[fate]
            )

    def asked_many(self, words: list[bytes]) -> None:
        """Answer within one array; a silent key keeps all of it."""
        keys, request = words[2:-2], words[-2].decode()
        parts: list[bytes] = []
        self.node.site.as_one += 1
        for key in keys:
            fate = self.node.fate(key.decode(), request)
            if fate == "silent":
                return
            if fate == "miss":
                parts.append(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
            elif fate == "busy":
                parts.append(b"-BUSY\r\n")
            else:
                value = self.node.value(key.decode(), request)
                parts.append(b"*3\r\n%b$3\r\nhit\r\n$-1\r\n" % bulk(value))
        self.place().answer(b"*%d\r\n%b" % (len(keys), b"".join(parts)))


class StoreLine(Line):
    def __init__(self, store: Served) -> None:
        super().__init__(store, WAY_S)
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
            self.store.advertised(self.request, value)

    def on_message_complete(self) -> None:
        site, key = self.store.site, unquote(self.target[1:].decode())
        self.target = b""
        fate, request, place = self.store.fate(key, self.request), self.request, self.place()
        if fate == "silent":
            return
        site.fetching += 1
        site.most_fetching = max(site.most_fetching, site.fetching)
        answers = {
            "ok": http_answer(200, self.store.value(key, request)),
            "long": http_answer(200, self.store.value(key, request).ljust(LONG, b".")),
            "none": http_answer(404),
            "error": http_answer(500),
            "busy": http_answer(503, b"", "Not-Started: 1"),
        }
        self.store.loop.call_later(WORK_S, self.done, place, answers[fate])

    def done(self, place: Place, answer: bytes) -> None:
        self.store.site.fetching -= 1
        place.answer(answer)


class Site:
    """One router and its peers; `attempts` are (time, place, key, request id)."""

    def __init__(
        self,
        loop: VirtualLoop,
        fate: Fate = well,
        nodes: int = 4,
        section: MultiGetSection = MultiGetSection(),  # noqa: B008
        ceilings: dict[str, Any] | None = None,
        memory_mb: int = 192,
    ) -> None:
        self.loop, self.fate, self.section = loop, fate, section
        self.attempts: list[tuple[float, str, str, str]] = []
        self.advertised: list[Advertised] = []
        """The time that each request to a node or the store advertised; a list of keys counts once."""
        self.fetching = self.most_fetching = self.as_one = 0
        self.nodes = [Served(self, f"s{number}") for number in range(nodes)]
        self.store = Served(self, "store", is_store=True)
        self.ceilings = {
            **SETTINGS["ceilings"],
            "streamsPerConn": 8,
            "secondCopies": True,
            **(ceilings or {}),
        }
        self.memory_mb = memory_mb
        self.breaches: list[Breach] = []
        self.answered: dict[str, float] = {}
        """When each command's answer was whole, by its id."""

    def entry(self, place: Served, lifecycle: str = "up") -> dict[str, Any]:
        return {
            "instanceId": place.name,
            "hostPort": f"{LOOPBACK}:{place.ports['here']}",
            "zone": "a",
            "machineType": "origin" if place.is_store else "std",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def start(self) -> None:
        places = [*self.nodes, self.store]
        for place in places:
            await place.begin()
        self.agent = RegistryAgent(self.loop, "r0", [self.entry(place) for place in places], Nobody())
        await self.agent.start()
        self.port = take_port()
        told = {
            "name": "r0",
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{self.agent.address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": 1024},
            "settings": {**SETTINGS, "ceilings": self.ceilings},
        }
        config = read_config(told, {})
        self.daemon = Daemon(self.loop, config, self.loop.unix_ns)
        self.daemon.enable_multi_get(self.section)
        self.host = self.daemon.host
        self.ledger = Ledger(
            {c.name: c.latency_target for c in config.settings.classes}, ["acme"], self.breaches.append
        )
        self.host.ledger = self.ledger
        await self.daemon.start()
        await self.until(lambda: self.host.ready)

    async def until(self, check: Callable[[], bool]) -> None:
        end = self.loop.time() + 30
        while not check():
            assert self.loop.time() < end
            await asyncio.sleep(0.001)

    async def client(self) -> Client:
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        return Client(self, reader, writer)

    def stop(self) -> None:
        self.daemon.stop()
        self.agent.close()
        for place in [*self.nodes, self.store]:
            place.refuse()
            place.break_all()

    def row(self) -> dict[str, Any]:
        """The ledger's account of the reads."""
        (row,) = [row for row in self.ledger.export_rows() if row["class"] == "get"] or [{}]
        return row

    async def settle(self) -> None:
        """Wait until nothing is out, and hold the run against what always has to be so."""
        await self.until(lambda: not self.host.open_request_count)
        await asyncio.sleep(3.0)  # the longest that an attempt goes on after its request is answered
        self.ledger.audit(self.host.now(), 0, self.host.open_requests())
        assert self.breaches == []
        assert self.host.free_capacity == self.ceilings["maxOpen"]
        many = self.host.multi_gets
        assert isinstance(many, MultiGetRegistry)
        assert (len(many.allocator), many.allocator.memory) == (0, 0)
        tries = Counter(request for _, _, _, request in self.attempts)
        assert max(tries.values(), default=0) <= self.ceilings["mostTries"] or self.as_one
        for at, _, _, request in self.attempts:
            # Rule 1: nothing is sent for what has its final answer; an attempt travels for WAY_S at most.
            assert at <= self.answered.get(request.rpartition(".")[0], at) + 2 * WAY_S


class Client:
    """One client's connection."""

    def __init__(self, site: Site, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.site, self.reader, self.writer = site, reader, writer
        self.replies = hiredis.Reader()

    def send(self, *words: bytes) -> None:
        self.writer.write(command(*words))

    def ask_many(self, keys: list[str], request: str = "q", d: int = 1000, more: str = "") -> None:
        info = f"c=get,t=acme,d={d}{more}".encode()
        encoded = [key.encode() for key in keys]
        self.send(b"KV.MGET", b"%d" % len(keys), *encoded, request.encode(), info)

    def ask_one(self, key: str, request: str, d: int = 1000) -> None:
        self.send(b"KV.GET", key.encode(), request.encode(), f"c=get,t=acme,d={d}".encode())

    async def answer(self) -> Any:
        while (answer := self.replies.gets()) is False:
            data = await asyncio.wait_for(self.reader.read(1 << 16), 30)
            if not data:
                return EOFError
            self.replies.feed(data)
        return answer

    async def many(self, keys: list[str], request: str = "q", d: int = 1000) -> Any:
        self.ask_many(keys, request, d)
        answer = await self.answer()
        self.site.answered[request] = self.site.loop.time()
        return answer

    def close(self) -> None:
        self.writer.close()


def marks(answer: list[Any]) -> list[str]:
    """Each entry in a word: the value's own text, miss, refused, failed or late."""
    words = []
    for entry in answer:
        if entry is None:
            words.append("miss")
        elif isinstance(entry, bytes):
            words.append(entry.rstrip(b".").decode())
        else:
            words.append({"BUSY": "refused", "ERR": "failed", "LATE": "late"}[str(entry).split()[0]])
    return words


def values(keys: list[str], request: str = "q") -> list[str]:
    return [f"{key} of {request}" for key in keys]


def on_site(test: Callable[[Site], Awaitable[None]], **told: Any) -> None:
    """Run a test on a site, and check at its end what always has to be so."""

    async def run(loop: VirtualLoop) -> None:
        faults: list[dict[str, Any]] = []
        loop.set_exception_handler(lambda _, context: faults.append(context))
        site = Site(loop, **told)
        await site.start()
        try:
            await test(site)
            await site.settle()
        finally:
            site.stop()
            await asyncio.sleep(0)
        assert faults == [], faults

    run_virtual(run)
