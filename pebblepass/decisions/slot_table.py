"""Placement: weighted rendezvous ranking of the ready servers for each slot of the key space."""

from __future__ import annotations

import math
from collections.abc import Sequence
from heapq import nlargest
from operator import itemgetter

from pebblepass.decisions import interface as api
from pebblepass.decisions.health import Node

SLOTS = 8192  # far more than servers, so that a slot's load is small beside a server's
DEPTH = 8  # servers ranked for a slot: more than a request may try, with some to pass over
WORD = (1 << 64) - 1  # of the hash


class SlotTable:
    """Weighted rendezvous hashing of slots over the ready servers, remembered slot by slot."""

    def __init__(self, settings: api.Settings) -> None:
        self.nodes: dict[str, Node] = {}
        self._settings = settings
        self._memo: dict[int, list[tuple[float, Node]]] = {}
        self.settled: dict[int, list[Node]] = {}  # the memo's nodes alone, while none of them is cold
        self.cold_until = 0
        self._only: list[Node] = []

    def update(self, ready: list[api.Server], left: list[str]) -> None:
        """Take over what changed in the list; other slots keep their rankings."""
        changed = [e for e in ready if e.id not in self.nodes or self.nodes[e.id].entry != e]
        gone = {*left, *(entry.id for entry in changed)}
        self.settled.clear()
        for server_id in gone:
            self.nodes.pop(server_id, None)
        if len(gone) > DEPTH:
            self._memo.clear()
        for slot in [s for s, held in self._memo.items() if any(n.entry.id in gone for _, n in held)]:
            del self._memo[slot]
        for node in [Node(entry, self._settings.weighted) for entry in changed]:
            self.nodes[node.entry.id] = node
            for slot, held in self._memo.items():
                ranked = [*held, (self._score(slot, node), node)]
                held[:] = nlargest(max(DEPTH, len(held)), ranked, key=itemgetter(0))
        self._only = list(self.nodes.values())[:1]
        newest = max((node.entry.started for node in self.nodes.values()), default=0)
        self.cold_until = newest + self._settings.cold_time

    def _score(self, slot: int, node: Node) -> float:
        mixed = (node.hash_seed ^ (slot + 1) * 0x9E3779B97F4A7C15) * 0xD6E8FEB86659FD93 & WORD
        mixed = (mixed ^ mixed >> 32) * 0xD6E8FEB86659FD93 & WORD
        return -node.weight / math.log(((mixed ^ mixed >> 32) + 1) / (WORD + 2))

    def warmth(self, node: Node, now: int) -> float:
        """Return the share of its work that a server can do so soon after its start."""
        age = max(now - node.entry.started, 0)  # clocks differ: a start may lie ahead
        cold, cold_time = self._settings.cold_share, self._settings.cold_time
        warm = not node.entry.started or age >= cold_time
        return 1.0 if warm else cold + (1 - cold) * age / cold_time

    def rank(self, slot: int, now: int, depth: int = DEPTH) -> Sequence[Node]:
        """The slot's best servers, at least `depth`, best first, with cold ones at their ramped weight."""
        if len(self.nodes) <= 1:  # the origin's table: a ranking for each slot would be kept for nothing
            return self._only
        known = self.settled.get(slot, ())
        if len(known) >= min(depth, len(self.nodes)) and now >= self.cold_until:
            return known
        held = self._memo.get(slot, [])
        if len(held) < min(depth, len(self.nodes)):
            scored = ((self._score(slot, node), node) for node in self.nodes.values())
            held = self._memo[slot] = nlargest(2 * depth, scored, key=itemgetter(0))
        if now < self.cold_until:
            ramped = [(score * self.warmth(node, now), node) for score, node in held]
            return [node for _, node in sorted(ramped, key=itemgetter(0), reverse=True)]
        ranked = self.settled[slot] = [node for _, node in held]
        return ranked
