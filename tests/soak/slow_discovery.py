"""Discovery that is polled and slow to respond, for soaks: several addresses, one list, lost calls."""

from __future__ import annotations

import enum
import json
import random
import socket
import threading
import time
from dataclasses import dataclass
from typing import Any

from tests.sockets import Peer, http_answer

RELOAD_DEADLINE_S = 4.0  # from SIGHUP until what discovery has counts as known
SILENCE_DEADLINE_S = 6.0  # from the moment in which a watch falls silent
AFTER_WAIT_S = 2.0  # or from the end of its wait, if that is later
CLOSES_AFTER_S = 1.5  # an old address closes its connections so long after a reload
SECOND_RELOAD_AFTER_S = 0.8
ADDRESSES = 3
LOST_CALL_S = 60.0  # longer than any run


class Disruption(enum.Enum):
    """What happens as a cache server begins to drain or is removed."""

    RELOAD = "reload"
    RELOAD_AND_LOST_CALL = "reload, the first call is lost"
    TWO_RELOADS = "two reloads"
    SILENT_WATCH = "the watch falls silent"


@dataclass(frozen=True)
class SlowPlan:
    """What a seed draws."""

    disruption: Disruption
    response_time_s: float
    """Of each call from the disruption on; the service's limit is 2 s."""
    lifecycle: str
    """Of the cache server, from the disruption on."""


def make_slow_plan(seed: int) -> SlowPlan:
    """Draw a plan."""
    rng, disruptions = random.Random(seed), list(Disruption)
    return SlowPlan(
        disruptions[seed % len(disruptions)], rng.uniform(1.2, 1.95), rng.choice(("draining", "removed"))
    )


class SlowDiscovery:
    """The service. A call is answered so long after it has a list to tell, at any of its addresses."""

    def __init__(self, instances: list[dict[str, Any]]) -> None:
        self._entries = {entry["instanceId"]: entry for entry in instances}
        self._changed_at = dict.fromkeys(self._entries, 1)
        self._generation = 1
        self._changed = threading.Condition()
        self._silent_before = float("-inf")
        self._lost_calls = 0
        self.response_time_s = 0.0
        self.last_watch = (0.0, 0.0)
        """When the last watch began, and its wait in seconds."""
        self.peers = [Peer(self._answer, is_http=True) for _ in range(ADDRESSES)]
        self._connections: list[socket.socket] = []

    def change(self, instance_id: str, lifecycle: str) -> None:
        """Tell the lifecycle of an instance from now on."""
        with self._changed:
            self._generation += 1
            self._entries[instance_id] = {**self._entries[instance_id], "lifecycle": lifecycle}
            self._changed_at[instance_id] = self._generation
            self._changed.notify_all()

    def lose_next_call(self) -> None:
        """Never answer the next call."""
        self._lost_calls += 1

    def silence(self) -> None:
        """Never answer the calls that are open."""
        self._silent_before = time.monotonic()

    def move_away(self, number: int) -> None:
        """Accept no connection at this address any more, and close the open ones a little later."""
        connections = list(self._connections)
        self.peers[number].close()
        timer = threading.Timer(CLOSES_AFTER_S, _shut_down, [connections])
        timer.daemon = True
        timer.start()

    def close(self) -> None:
        """Stop listening."""
        for peer in self.peers:
            peer.close()

    def _answer(self, connection: socket.socket, message: list[bytes]) -> bytes:
        started_at = time.monotonic()
        if connection not in self._connections:
            self._connections.append(connection)
        if self._lost_calls:
            self._lost_calls -= 1
            time.sleep(LOST_CALL_S)
        _, _, query = message[1].decode().partition("?")
        if not query:
            time.sleep(self.response_time_s)
            return self._response(None)
        fields = dict(part.split("=") for part in query.split("&"))
        index, wait_s = int(fields["index"]), int(fields["wait"]) / 1000
        self.last_watch = (started_at, wait_s)
        with self._changed:
            self._changed.wait_for(lambda: self._generation > index, timeout=wait_s)
        if started_at < self._silent_before:
            time.sleep(LOST_CALL_S)
        time.sleep(self.response_time_s)
        return self._response(index)

    def _response(self, index: int | None) -> bytes:
        with self._changed:
            entries = [
                entry
                for name, entry in self._entries.items()
                if (entry["lifecycle"] != "removed" if index is None else self._changed_at[name] > index)
            ]
            body = {"generation": self._generation, "reset": index is None, "instances": entries}
        return http_answer(200, json.dumps(body).encode())


def _shut_down(connections: list[socket.socket]) -> None:
    for connection in connections:
        try:
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            continue  # it was closed before
