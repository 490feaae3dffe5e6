"""Placement: weighted rendezvous ranking of the ready servers for each slot of the key space."""

from __future__ import annotations

import math
from collections.abc import Sequence
from heapq import nlargest
from operator import itemgetter

from pebblepass.decisions import interface as api
from pebblepass.decisions.health import Node

SLOTS = 8192  # far more than servers, so that one slot is a small fraction of a server's load
DEPTH = 8  # servers ranked for a slot: more than a request's attempts, so that some may be skipped
HASH_MASK = (1 << 64) - 1  # 64 bits


class SlotTable:
    """Weighted rendezvous hashing of slots over the ready servers; rankings are cached by slot.

    Inputs: the servers' ids, weights and starts. Reason: every router places a slot on the same server
    without coordination, and a change of the list moves only the slots of the servers concerned.
    """

    def __init__(self, settings: api.Settings) -> None:
        self.nodes: dict[str, Node] = {}
        self._settings = settings
        self.scored_rankings: dict[int, list[tuple[float, Node]]] = {}
        """Scores, without warm-up, and servers by slot, the best first."""
        self.steady_rankings: dict[int, list[Node]] = {}
        """The servers only, by slot; filled while no server is warming up."""
        self.cold_until = 0
        self._single: list[Node] = []

    def update(self, ready: list[api.Server], removed_ids: list[str]) -> None:
        """Add or replace ready servers and remove `removed_ids`; unaffected rankings stay cached."""
        changed = [e for e in ready if e.id not in self.nodes or self.nodes[e.id].entry != e]
        removed = {*removed_ids, *(entry.id for entry in changed)}
        self.steady_rankings.clear()
        for server_id in removed:
            self.nodes.pop(server_id, None)
        if len(removed) > DEPTH:
            self.scored_rankings.clear()
        for slot in [
            s for s, ranking in self.scored_rankings.items() if any(n.entry.id in removed for _, n in ranking)
        ]:
            del self.scored_rankings[slot]
        for node in [Node(entry, self._settings.weighted) for entry in changed]:
            self.nodes[node.entry.id] = node
            for slot, ranking in self.scored_rankings.items():
                extended = [*ranking, (self._score(slot, node), node)]
                ranking[:] = nlargest(max(DEPTH, len(ranking)), extended, key=itemgetter(0))
        self._single = list(self.nodes.values())[:1]
        newest = max((node.entry.started for node in self.nodes.values()), default=0)
        self.cold_until = newest + self._settings.warm_up_time

    def _score(self, slot: int, node: Node) -> float:
        mixed = (node.hash_seed ^ (slot + 1) * 0x9E3779B97F4A7C15) * 0xD6E8FEB86659FD93 & HASH_MASK
        mixed = (mixed ^ mixed >> 32) * 0xD6E8FEB86659FD93 & HASH_MASK
        return -node.weight / math.log(((mixed ^ mixed >> 32) + 1) / (HASH_MASK + 2))

    def warm_up_fraction(self, node: Node, now: int) -> float:
        """Return the fraction of its full capacity, 0 to 1, that a server has reached since its start."""
        age = max(now - node.entry.started, 0)  # clocks differ: the start may lie in the future
        cold, cold_time = self._settings.cold_capacity, self._settings.warm_up_time
        warm = not node.entry.started or age >= cold_time
        return 1.0 if warm else cold + (1 - cold) * age / cold_time

    def rank(self, slot: int, now: int, depth: int = DEPTH) -> Sequence[Node]:
        """Return at least `depth` servers of a slot (all, if there are fewer), the best first.

        Scores are multiplied by the warm-up fraction while any server is warming up.
        """
        if len(self.nodes) <= 1:  # such as the origin's table: nothing to rank
            return self._single
        cached = self.steady_rankings.get(slot, ())
        if len(cached) >= min(depth, len(self.nodes)) and now >= self.cold_until:
            return cached
        scores = self.scored_rankings.get(slot, [])
        if len(scores) < min(depth, len(self.nodes)):
            scored = ((self._score(slot, node), node) for node in self.nodes.values())
            scores = self.scored_rankings[slot] = nlargest(2 * depth, scored, key=itemgetter(0))
        if now < self.cold_until:
            warm_up_scores = [(score * self.warm_up_fraction(node, now), node) for score, node in scores]
            return [node for _, node in sorted(warm_up_scores, key=itemgetter(0), reverse=True)]
        ranked = self.steady_rankings[slot] = [node for _, node in scores]
        return ranked
