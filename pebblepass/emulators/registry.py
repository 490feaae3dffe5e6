"""An emulated registry agent: the discovery endpoint of one router, with that router's view of the fleet."""

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

UPDATE_DEADLINE_S = 6.0  # after this time the agent reports a change as sent, whether or not the router asked
MAX_WAIT_MS = 60_000
ZONE = "here"


@dataclass(slots=True)
class _Watch:
    index: int
    reply: PendingReply
    timer: asyncio.TimerHandle


class RegistryAgent:
    """One router's view of the endpoint list; changes are forwarded to pending watches."""

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
        self._deferred_changes: list[dict[str, Any]] = []
        self.generation = 1
        self._watches: list[_Watch] = []
        self._listeners = ListenerGroup(loop, (ZONE,))
        self._down = False

    async def start(self) -> None:
        """Open the listener."""
        await self._listeners.open(lambda _: _AgentConnection(self, self._listeners))

    @property
    def address(self) -> Address:
        """The address that the router connects to."""
        return LOOPBACK, self._listeners.ports[ZONE]

    def listing(self) -> dict[str, Any]:
        """The full endpoint list."""
        return {"generation": self.generation, "reset": True, "instances": list(self._entries.values())}

    def apply_change(self, entry: dict[str, Any]) -> None:
        """Apply a change of one entry; while the agent is down, changes are deferred."""
        if self._down:
            self._deferred_changes.append(entry)
            return
        self.generation += 1
        if entry["lifecycle"] == "removed":
            self._entries.pop(entry["instanceId"], None)
        else:
            self._entries[entry["instanceId"]] = entry
        self._changes.append((self.generation, entry))
        self._loop.call_later(UPDATE_DEADLINE_S, self._report_latest, self.generation, entry)
        watches, self._watches = self._watches, []
        for watch in watches:
            watch.timer.cancel()
            self._answer_watch(watch)

    def set_down(self, down: bool) -> None:
        """Go down, dropping watches and refusing connections; or come back and apply the deferred changes."""
        self._down = down
        if down:
            self._listeners.stop_accepting()
            self._listeners.reset_connections()
            for watch in self._watches:
                watch.timer.cancel()
            self._watches.clear()
            return
        self._listeners.reopen()
        deferred, self._deferred_changes = self._deferred_changes, []
        for entry in deferred:
            self.apply_change(entry)

    async def move(self) -> RegistryAgent:
        """Continue at another address; the old one accepts no connections and closes after 1.5 s."""
        moved = RegistryAgent(self._loop, self._router, list(self._entries.values()), self._observer)
        moved.generation, moved._changes = self.generation, list(self._changes)
        await moved.start()
        self._listeners.stop_accepting()
        self._loop.call_later(1.5, self._listeners.reset_connections)
        return moved

    def close(self) -> None:
        """Close the listener and reset its connections."""
        self._listeners.stop_accepting()
        self._listeners.reset_connections()

    def handle_request(self, target: str, connection: EmulatorConnection) -> None:
        """Answer a request for the endpoint list, at once or when it changes."""
        parts = urlsplit(target)
        reply = connection.reserve_reply()
        if parts.path != "/registry/instances":
            reply.answer(_http_response(404, {}))
            return
        query = parse_qs(parts.query)
        if "index" not in query:
            self._report_sent(list(self._entries.values()))
            reply.answer(_http_response(200, self.listing()))
            return
        try:
            index = int(query["index"][0])
            wait = min(int(query.get("wait", ["0"])[0]), MAX_WAIT_MS) / 1000
        except ValueError:
            reply.answer(_http_response(400, {}))
            return
        watch = _Watch(index, reply, self._loop.call_later(wait, self._on_watch_timeout, reply))
        if index < self.generation:
            watch.timer.cancel()
            self._answer_watch(watch)
        else:
            self._watches.append(watch)

    def _on_watch_timeout(self, reply: PendingReply) -> None:
        for watch in self._watches:
            if watch.reply is reply:
                self._watches.remove(watch)
                self._answer_watch(watch)
                return

    def _answer_watch(self, watch: _Watch) -> None:
        changed = [entry for generation, entry in self._changes if generation > watch.index]
        if watch.reply.connection.transport is not None:
            self._report_sent(changed)
        watch.reply.answer(
            _http_response(200, {"generation": self.generation, "reset": False, "instances": changed})
        )

    def _report_latest(self, generation: int, entry: dict[str, Any]) -> None:
        """Report a change as sent, unless the entry has changed again."""
        later = (g for g, other in self._changes if other["instanceId"] == entry["instanceId"])
        if max(later) == generation:
            self._report_sent([entry])

    def _report_sent(self, entries: list[dict[str, Any]]) -> None:
        now = self._loop.time()
        for entry in entries:
            self._observer.registry_update_sent(self._router, entry["instanceId"], entry["lifecycle"], now)


def _http_response(status: int, body: dict[str, Any]) -> bytes:
    data = msgspec.json.encode(body)
    reason = {200: b"OK", 400: b"Bad Request", 404: b"Not Found"}[status]
    head = b"HTTP/1.1 %d %b\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
    return head % (status, reason, len(data)) + data


class _AgentConnection(EmulatorConnection):
    """A router's connection to its registry agent."""

    def __init__(self, agent: RegistryAgent, listeners: ListenerGroup) -> None:
        super().__init__(listeners, 0.0)
        self._agent = agent
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""

    def data_received(self, data: bytes) -> None:
        """Parse requests; malformed data closes the connection."""
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
