"""What of the fetches is admitted, by how a quota is split over the routers; no sockets, a virtual clock.

    .venv/bin/python benchmarks/shares.py [--routers 930] [--quota 400] [--spread 1.2] [--demand 0.8]
        [--split NAME] [--dead 0] [--window S]
    .venv/bin/python benchmarks/shares.py --cost

The Suppressor is the program's, and so are the rules of shares (`pebblepass/consensus/shares.py`): three
voters, leases of 6 s, each router asks each voter every third of that. The traffic is Poisson, its routers'
means are drawn from a log-normal, and after 60 s drawn anew: the shift. The origin is healthy. Splits:

    equal        quota / routers, today's program
    shares       leases
    clairvoyant  caps by the true means at each moment, all of the quota, the root of the rest as in shares
    counter      one Suppressor that sees all, told at once

Told for 20 s before the shift, its first 10 s, and the 20 s from 10 s on: the share of wanted fetches that is
admitted, and the most admitted in any one window of the Suppressor's, as a multiple of quota times window.
"""

from __future__ import annotations

import argparse
import math
import random
import sys
import time
from collections import deque
from heapq import heapify, heappop, heappush
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from pebblepass.consensus import messages as m
from pebblepass.consensus.demand import DemandEstimator
from pebblepass.consensus.leases import LeaseTerms, ProcessId
from pebblepass.consensus.quota_allocator import QuotaAllocator, QuotaPool, allocate
from pebblepass.consensus.quota_leases import QuotaLeaseHolder
from pebblepass.decisions.interface import NS_PER_S, FleetPolicy, Tenant
from pebblepass.decisions.suppressor import Suppressor

TERMS = LeaseTerms(6 * NS_PER_S, 0.1)
VOTERS = 3
SHIFT_S, END_S = 60.0, 90.0
FLOOR_SHARE = 0.25
NAME = "acme"
SPLITS = ("equal", "shares", "clairvoyant", "counter")


class Rig:
    """One run."""

    def __init__(self, chosen: argparse.Namespace) -> None:
        self.rng = random.Random(chosen.seed)
        self.drawn = random.Random(chosen.seed)  # the same traffic whatever the split
        self.count, self.quota, self.split = chosen.routers, chosen.quota, chosen.split
        self.spread, self.demand, self.dead = chosen.spread, chosen.demand, chosen.dead
        self.window = chosen.window or None
        shared = self.split in ("shares", "clairvoyant")
        self.policy = FleetPolicy(1, (), None, 1.5, self.window, (), FLOOR_SHARE, shared)
        routers = 1 if self.split == "counter" else self.count
        tenant = Tenant(NAME, 1.0, self.quota)
        self.guards = [Suppressor(tenant, routers, self.rng) for _ in range(routers)]
        self.floor = self.quota * FLOOR_SHARE / self.count
        self.pool = QuotaPool(self.quota - self.floor * self.count, self.floor)
        self.voters = [QuotaAllocator(TERMS, 0, restarted=False) for _ in range(VOTERS)]
        for voter in self.voters:
            voter.begin(1, {NAME: self.pool}, VOTERS)
        self.holders = [QuotaLeaseHolder(TERMS) for _ in range(self.count)]
        self.demands = [DemandEstimator() for _ in range(self.count)]
        self.seqs = [0] * self.count
        for guard in self.guards:
            guard.apply_policy(self.policy, None, routers, 0.0, 0)
        self.held = [0.0] * self.count
        self.wanted: dict[str, list[int]] = {}
        self.recent: deque[int] = deque()
        self.most = dict.fromkeys(("before", "first 10 s", "after"), 0)
        self.most_out = 0.0

    def means(self) -> list[float]:
        """Each router's fetches a second."""
        drawn = [self.drawn.lognormvariate(0.0, self.spread) for _ in range(self.count)]
        scale = self.quota * self.demand / sum(drawn)
        return [each * scale for each in drawn]

    def hold(self, router: int, share: float, now: int) -> None:
        """A router's share moves."""
        if share != self.held[router]:
            self.held[router] = share
            self.guards[router].apply_policy(self.policy, None, self.count, share, now)

    def reveal(self, means: list[float], now: int) -> None:
        """The clairvoyant split."""
        if self.split == "clairvoyant":
            split = allocate(dict(enumerate(means)), self.pool.shared, self.floor)
            for router, share in split.items():
                self.hold(router, share, now)

    def ask(self, router: int, now: int, seconds: float) -> None:
        """A router's question to every voter and their answers, 1 ms later; releases at once."""
        self.seqs[router] += 1
        seq, holder, who = self.seqs[router], self.holders[router], ProcessId(str(router), "b")
        rows = self.demands[router].update({NAME: self.guards[router].demand}, now)
        for number, voter in enumerate(self.voters):
            if seconds >= SHIFT_S and number < self.dead:
                continue
            voter.request(who, 1, holder.applied_sequence(str(number)), rows, now)
            share = voter.grant(who, seq, now)
            self.most_out = max(self.most_out, voter.outstanding(NAME) / (self.pool.shared / VOTERS))
            if holder.granted(str(number), seq, now, share):
                voter.applied(who, 1, seq, now)
        self.hold(router, dict(holder.total(now).rates).get(NAME, 0.0), now)

    def fetch(self, router: int, now: int, seconds: float) -> None:
        """One is wanted."""
        guard = self.guards[0 if self.split == "counter" else router]
        part = "before" if seconds < SHIFT_S else "first 10 s" if seconds < SHIFT_S + 10 else "after"
        admitted = guard.admit(now)
        if admitted:
            guard.increase_limit(now)
            self.recent.append(now)
            while self.recent[0] <= now - guard.window_s * NS_PER_S:
                self.recent.popleft()
        if seconds >= SHIFT_S - 20:
            told = self.wanted.setdefault(part, [0, 0])
            told[0] += 1
            told[1] += admitted
            self.most[part] = max(self.most[part], len(self.recent))

    def run(self) -> dict[str, float]:
        """Play it."""
        means = self.means()
        self.reveal(means, 0)
        queue = [(self.rng.expovariate(mean), 0, router) for router, mean in enumerate(means)]
        if self.split == "shares":
            queue += [(self.rng.uniform(0, 2), 1, router) for router in range(self.count)]
        queue.append((SHIFT_S, 2, 0))
        heapify(queue)
        while queue:
            seconds, kind, router = heappop(queue)
            if seconds >= END_S:
                break
            now = int(seconds * NS_PER_S)
            if kind == 2:
                means = self.means()
                self.reveal(means, now)
                queue = [each for each in queue if each[1] == 1]
                queue += [(seconds + self.rng.expovariate(mean), 0, each) for each, mean in enumerate(means)]
                heapify(queue)
            elif kind == 1:
                self.ask(router, now, seconds)
                heappush(
                    queue, (seconds + TERMS.renewal_interval / 1e9 * self.rng.uniform(0.8, 1.0), 1, router)
                )
            else:
                self.fetch(router, now, seconds)
                heappush(queue, (seconds + self.rng.expovariate(means[router]), 0, router))
        slack = self.quota * self.guards[0].window_s
        return {
            **{part: told[1] / told[0] for part, told in self.wanted.items()},
            "most": max(self.most.values()) / slack,
            "most out": self.most_out,
        }


def cost(routers: int) -> None:
    """Bytes of questions and answers, and what the rules take of a core, at a voter and at a router."""
    questions = 1 / (TERMS.renewal_interval / 1e9 * 0.9)  # a second, of a router to a voter
    sender = m.Sender("sofia-r0123", "0123456789ab", "", 0, 7, 7, 6, 6, 7, True)
    voter_says = m.Sender("sofia-c1", "0123456789ab", "sofia-c1.0123456789ab", 12, 7, 7, 6, 6, 7, True)
    for names in (0, 1, 10):
        rows = tuple((f"namespace{number:02d}", 12.345678) for number in range(names))
        asked = len(m.encode(m.Message(sender, m.LeaseRequest(4711, 7, 4710 if names else 0, rows))))
        granted = len(m.encode(m.Message(voter_says, m.LeaseGrant(4711, 7, sender.boot_id, rows))))
        applied = len(m.encode(m.Message(sender, m.QuotaLeaseApplied(4711, 7)))) if names else 0
        each = asked + granted + 8  # with the sizes of both frames
        most = each + (applied + 4 if names else 0)  # where every grant takes much away
        print(
            f"{names:3d} namespaces: question {asked} bytes, grant {granted}, applied {applied}; "
            f"a router {each * questions * VOTERS:.0f} bytes a second, "
            f"{most * questions * VOTERS:.0f} at most"
        )
        if not names:
            continue
        voter = QuotaAllocator(TERMS, 0, restarted=False)
        voter.begin(1, {name: QuotaPool(300.0, 0.1) for name, _ in rows}, VOTERS)
        rng = random.Random(1)
        holders = [QuotaLeaseHolder(TERMS) for _ in range(routers)]
        demands = [DemandEstimator() for _ in range(routers)]
        gap = int(1e9 / (routers * questions))
        at_voter = at_router = 0.0
        rounds = 4 * routers
        for number in range(rounds):
            now, router = number * gap, number % routers
            begun = time.process_time()
            counts = {name: int(now / 1e9 * rng.uniform(5, 6)) for name, _ in rows}
            told = demands[router].update(counts, now)
            asking = time.process_time()
            who = ProcessId(str(router), "b")
            voter.request(who, 1, holders[router].applied_sequence("v"), told, now)
            share = voter.grant(who, number + 1, now)
            granting = time.process_time()
            holders[router].granted("v", number + 1, now, share)
            holders[router].total(now)
            at_router += time.process_time() - granting + asking - begun
            at_voter += granting - asking
        seconds = rounds * gap / 1e9
        print(
            f"    rules at {routers} routers: a voter {at_voter / seconds:.2%} of a core, "
            f"a router {at_router / seconds / routers * VOTERS:.4%}"
        )


def main() -> None:
    """Play and print."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--routers", type=int, nargs="*", default=[930])
    parser.add_argument("--quota", type=float, nargs="*", default=[40.0, 400.0, 4000.0])
    parser.add_argument("--spread", type=float, nargs="*", default=[1.2])
    parser.add_argument("--demand", type=float, default=0.8)
    parser.add_argument("--split", choices=SPLITS, nargs="*", default=SPLITS)
    parser.add_argument("--dead", type=int, default=0, help="voters that die at the shift")
    parser.add_argument("--window", type=float, default=0.0, help="seconds; 0: the program's")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--cost", action="store_true", help="bytes and CPU instead")
    chosen = parser.parse_args()
    if chosen.cost:
        cost(chosen.routers[0])
        return
    print("split        routers  quota  spread  demand  before  first 10 s  after   most in a window  out")
    for quota in chosen.quota:
        for routers in chosen.routers:
            for spread in chosen.spread:
                for split in chosen.split:
                    one = argparse.Namespace(**vars(chosen))
                    one.quota, one.routers, one.spread, one.split = quota, routers, spread, split
                    told = Rig(one).run()
                    rows = [told.get(part, math.nan) for part in ("before", "first 10 s", "after")]
                    print(
                        f"{split:<12} {routers:7d} {quota:6.0f} {spread:7.1f} {chosen.demand:7.1f} "
                        f"{rows[0]:7.3f} {rows[1]:11.3f} {rows[2]:6.3f} {told['most']:18.2f} "
                        f"{told['most out']:4.2f}",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
