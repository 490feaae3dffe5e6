"""A stand-in registry: the agent on one router's machine, with the list as that router's side has it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec

from pebblepass.emulators.listeners import LOOPBACK, EmulatorConnection, ListenerGroup, PendingReply
from pebblepass.emulators.observer import EmulatorObserver
from pebblepass.wire.address import Address

LATEST_S = 6.0  # what the agent has counts as told so much later at the latest
MOST_WAIT_MS = 60_000
ZONE = "here"


@dataclass(slots=True)
class _Watch:
    index: int
    place: PendingReply
    timer: asyncio.TimerHandle


class RegistryAgent:
    """One router's view of the list: changes come late, and go on to whoever watches."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        router: str,
        entries: list[dict[str, Any]],
        observer: EmulatorObserver,
    ) -> None:
        self._loop, self._router, self._observer = loop, router, observer
        self._entries = {entry["instanceId"]: entry for entry in entries}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._held_back: list[dict[str, Any]] = []
        self.generation = 1
        self._watches: list[_Watch] = []
        self._listeners = ListenerGroup(loop, (ZONE,))
        self._down = False

    async def start(self) -> None:
        """Listen."""
        await self._listeners.open(lambda _: _AgentLine(self, self._listeners))

    @property
    def address(self) -> Address:
        """Where the router finds it."""
        return LOOPBACK, self._listeners.ports[ZONE]

    def listing(self) -> dict[str, Any]:
        """The whole list."""
        return {"generation": self.generation, "reset": True, "instances": list(self._entries.values())}

    def apply_change(self, entry: dict[str, Any]) -> None:
        """The agent has been sent a change of one entry."""
        if self._down:
            self._held_back.append(entry)
            return
        self.generation += 1
        if entry["lifecycle"] == "removed":
            self._entries.pop(entry["instanceId"], None)
        else:
            self._entries[entry["instanceId"]] = entry
        self._changes.append((self.generation, entry))
        self._loop.call_later(LATEST_S, self._tell_latest, self.generation, entry)
        watches, self._watches = self._watches, []
        for watch in watches:
            watch.timer.cancel()
            self._answer_watch(watch)

    def set_down(self, down: bool) -> None:
        """Go down: watches end and new connections are refused; come back with what was sent meanwhile."""
        self._down = down
        if down:
            self._listeners.stop_accepting()
            self._listeners.reset_connections()
            for watch in self._watches:
                watch.timer.cancel()
            self._watches.clear()
            return
        self._listeners.reopen()
        held, self._held_back = self._held_back, []
        for entry in held:
            self.apply_change(entry)

    async def move(self) -> RegistryAgent:
        """Go on at another address; the old one takes no new connections and ends after 1.5 s."""
        moved = RegistryAgent(self._loop, self._router, list(self._entries.values()), self._observer)
        moved.generation, moved._changes = self.generation, list(self._changes)
        await moved.start()
        self._listeners.stop_accepting()
        self._loop.call_later(1.5, self._listeners.reset_connections)
        return moved

    def close(self) -> None:
        """End."""
        self._listeners.stop_accepting()
        self._listeners.reset_connections()

    def handle_request(self, target: str, line: EmulatorConnection) -> None:
        """Take a request."""
        parts = urlsplit(target)
        place = line.reserve_reply()
        if parts.path != "/registry/instances":
            place.answer(_answer(404, {}))
            return
        query = parse_qs(parts.query)
        if "index" not in query:
            self._tell(list(self._entries.values()))
            place.answer(_answer(200, self.listing()))
            return
        try:
            index = int(query["index"][0])
            wait = min(int(query.get("wait", ["0"])[0]), MOST_WAIT_MS) / 1000
        except ValueError:
            place.answer(_answer(400, {}))
            return
        watch = _Watch(index, place, self._loop.call_later(wait, self._time_out, place))
        if index < self.generation:
            watch.timer.cancel()
            self._answer_watch(watch)
        else:
            self._watches.append(watch)

    def _time_out(self, place: PendingReply) -> None:
        for watch in self._watches:
            if watch.place is place:
                self._watches.remove(watch)
                self._answer_watch(watch)
                return

    def _answer_watch(self, watch: _Watch) -> None:
        changed = [entry for generation, entry in self._changes if generation > watch.index]
        if watch.place.line.transport is not None:
            self._tell(changed)
        watch.place.answer(
            _answer(200, {"generation": self.generation, "reset": False, "instances": changed})
        )

    def _tell_latest(self, generation: int, entry: dict[str, Any]) -> None:
        """Count a change as told, unless the entry has changed again."""
        later = (g for g, other in self._changes if other["instanceId"] == entry["instanceId"])
        if max(later) == generation:
            self._tell([entry])

    def _tell(self, entries: list[dict[str, Any]]) -> None:
        now = self._loop.time()
        for entry in entries:
            self._observer.registry_update_sent(self._router, entry["instanceId"], entry["lifecycle"], now)


def _answer(status: int, body: dict[str, Any]) -> bytes:
    data = msgspec.json.encode(body)
    reason = {200: b"OK", 400: b"Bad Request", 404: b"Not Found"}[status]
    head = b"HTTP/1.1 %d %b\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
    return head % (status, reason, len(data)) + data


class _AgentLine(EmulatorConnection):
    """A router's connection to its agent."""

    def __init__(self, agent: RegistryAgent, listeners: ListenerGroup) -> None:
        super().__init__(listeners, 0.0)
        self._agent = agent
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""

    def data_received(self, data: bytes) -> None:
        """Read requests; what can't be read closes the connection."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.close()

    def on_url(self, url: bytes) -> None:
        """Called by httptools."""
        self._target += url

    def on_message_complete(self) -> None:
        """Called by httptools."""
        target, self._target = self._target.decode("ascii", "replace"), b""
        self._agent.handle_request(target, self)
