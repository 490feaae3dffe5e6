"""Simulates how many fetches are admitted under different splits of a quota; no sockets, a virtual clock.

    .venv/bin/python benchmarks/shares.py [--routers 930] [--quota 400] [--spread 1.2] [--demand 0.8]
        [--split NAME] [--dead 0] [--window S]
    .venv/bin/python benchmarks/shares.py --cost

It uses the router's Suppressor and quota leases (`pebblepass/consensus/quota_allocator.py`): three voters,
leases of 6 s, and each router sends a request to each voter every third of that. The traffic is Poisson. The
routers' means are drawn from a log-normal, and drawn again after 60 s (the shift). The origin is healthy.
Splits:

    equal        quota / routers, the default of the router
    shares       quota leases
    clairvoyant  allocation by the true means at each moment, with the same rule as in shares
    counter      one Suppressor that sees all fetches immediately

For the 20 s before the shift, the first 10 s after it, and the 20 s after that, it prints the fraction of
wanted fetches that is admitted. It also prints the most fetches admitted in any window of the Suppressor, as
a multiple of quota times window.
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


class QuotaSimulation:
    """One run with one split."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.rng = random.Random(options.seed)
        self.traffic_rng = random.Random(
            options.seed
        )  # separate, so that the traffic is the same for every split
        self.count, self.quota, self.split = options.routers, options.quota, options.split
        self.spread, self.demand, self.dead = options.spread, options.demand, options.dead
        self.window = options.window or None
        shared = self.split in ("shares", "clairvoyant")
        self.policy = FleetPolicy(1, (), None, 1.5, self.window, (), FLOOR_SHARE, shared)
        routers = 1 if self.split == "counter" else self.count
        tenant = Tenant(NAME, 1.0, self.quota)
        self.suppressors = [Suppressor(tenant, routers, self.rng) for _ in range(routers)]
        self.floor = self.quota * FLOOR_SHARE / self.count
        self.pool = QuotaPool(self.quota - self.floor * self.count, self.floor)
        self.voters = [QuotaAllocator(TERMS, 0, restarted=False) for _ in range(VOTERS)]
        for voter in self.voters:
            voter.begin(1, {NAME: self.pool}, VOTERS)
        self.holders = [QuotaLeaseHolder(TERMS) for _ in range(self.count)]
        self.demands = [DemandEstimator() for _ in range(self.count)]
        self.seqs = [0] * self.count
        for suppressor in self.suppressors:
            suppressor.apply_policy(self.policy, None, routers, 0.0, 0)
        self.current_share = [0.0] * self.count
        self.wanted: dict[str, list[int]] = {}
        self.recent: deque[int] = deque()
        self.most = dict.fromkeys(("before", "first 10 s", "after"), 0)
        self.most_out = 0.0

    def means(self) -> list[float]:
        """Draw each router's mean fetches per second."""
        drawn = [self.traffic_rng.lognormvariate(0.0, self.spread) for _ in range(self.count)]
        scale = self.quota * self.demand / sum(drawn)
        return [mean * scale for mean in drawn]

    def apply_share(self, router: int, share: float, now: int) -> None:
        """Apply a router's new share to its suppressor."""
        if share != self.current_share[router]:
            self.current_share[router] = share
            self.suppressors[router].apply_policy(self.policy, None, self.count, share, now)

    def apply_clairvoyant_split(self, means: list[float], now: int) -> None:
        """Give the routers their shares by the true means, if the split is clairvoyant."""
        if self.split == "clairvoyant":
            split = allocate(dict(enumerate(means)), self.pool.shared, self.floor)
            for router, share in split.items():
                self.apply_share(router, share, now)

    def renew_leases(self, router: int, now: int, seconds: float) -> None:
        """Play a router's lease requests to every live voter, and their grants."""
        self.seqs[router] += 1
        seq, holder, process_id = self.seqs[router], self.holders[router], ProcessId(str(router), "b")
        rows = self.demands[router].update({NAME: self.suppressors[router].demand}, now)
        for number, voter in enumerate(self.voters):
            if seconds >= SHIFT_S and number < self.dead:
                continue
            voter.request(process_id, 1, holder.applied_sequence(str(number)), rows, now)
            share = voter.grant(process_id, seq, now)
            self.most_out = max(self.most_out, voter.outstanding(NAME) / (self.pool.shared / VOTERS))
            if holder.granted(str(number), seq, now, share):
                voter.applied(process_id, 1, seq, now)
        self.apply_share(router, dict(holder.total(now).rates).get(NAME, 0.0), now)

    def fetch(self, router: int, now: int, seconds: float) -> None:
        """Play one wanted fetch, and count whether it is admitted."""
        suppressor = self.suppressors[0 if self.split == "counter" else router]
        part = "before" if seconds < SHIFT_S else "first 10 s" if seconds < SHIFT_S + 10 else "after"
        admitted = suppressor.admit(now)
        if admitted:
            suppressor.increase_limit(now)
            self.recent.append(now)
            while self.recent[0] <= now - suppressor.window_s * NS_PER_S:
                self.recent.popleft()
        if seconds >= SHIFT_S - 20:
            counts = self.wanted.setdefault(part, [0, 0])
            counts[0] += 1
            counts[1] += admitted
            self.most[part] = max(self.most[part], len(self.recent))

    def run(self) -> dict[str, float]:
        """Play the run; returns the admitted fractions and the maxima."""
        means = self.means()
        self.apply_clairvoyant_split(means, 0)
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
                self.apply_clairvoyant_split(means, now)
                queue = [event for event in queue if event[1] == 1]
                queue += [
                    (seconds + self.rng.expovariate(mean), 0, number) for number, mean in enumerate(means)
                ]
                heapify(queue)
            elif kind == 1:
                self.renew_leases(router, now, seconds)
                heappush(
                    queue, (seconds + TERMS.renewal_interval / 1e9 * self.rng.uniform(0.8, 1.0), 1, router)
                )
            else:
                self.fetch(router, now, seconds)
                heappush(queue, (seconds + self.rng.expovariate(means[router]), 0, router))
        window_quota = self.quota * self.suppressors[0].window_s
        return {
            **{part: counts[1] / counts[0] for part, counts in self.wanted.items()},
            "most": max(self.most.values()) / window_quota,
            "most out": self.most_out,
        }


def cost(routers: int) -> None:
    """Print the bytes of lease requests and grants, and the CPU of the allocation at voter and router."""
    requests_per_s = 1 / (TERMS.renewal_interval / 1e9 * 0.9)  # of a router to a voter
    sender = m.Sender("sofia-r0123", "0123456789ab", "", 0, 7, 7, 6, 6, 7, True)
    voter_sender = m.Sender("sofia-c1", "0123456789ab", "sofia-c1.0123456789ab", 12, 7, 7, 6, 6, 7, True)
    for names in (0, 1, 10):
        rows = tuple((f"namespace{number:02d}", 12.345678) for number in range(names))
        request_bytes = len(m.encode(m.Message(sender, m.LeaseRequest(4711, 7, 4710 if names else 0, rows))))
        grant_bytes = len(m.encode(m.Message(voter_sender, m.LeaseGrant(4711, 7, sender.boot_id, rows))))
        applied = len(m.encode(m.Message(sender, m.QuotaLeaseApplied(4711, 7)))) if names else 0
        exchange_bytes = request_bytes + grant_bytes + 8  # with both frame headers
        # The router confirms a grant that is reduced; at most, this is every grant.
        max_bytes = exchange_bytes + (applied + 4 if names else 0)
        print(
            f"{names:3d} namespaces: question {request_bytes} bytes, grant {grant_bytes}, applied {applied}; "
            f"a router {exchange_bytes * requests_per_s * VOTERS:.0f} bytes a second, "
            f"{max_bytes * requests_per_s * VOTERS:.0f} at most"
        )
        if not names:
            continue
        voter = QuotaAllocator(TERMS, 0, restarted=False)
        voter.begin(1, {name: QuotaPool(300.0, 0.1) for name, _ in rows}, VOTERS)
        rng = random.Random(1)
        holders = [QuotaLeaseHolder(TERMS) for _ in range(routers)]
        demands = [DemandEstimator() for _ in range(routers)]
        interval_ns = int(1e9 / (routers * requests_per_s))
        at_voter = at_router = 0.0
        rounds = 4 * routers
        for number in range(rounds):
            now, router = number * interval_ns, number % routers
            start = time.process_time()
            counts = {name: int(now / 1e9 * rng.uniform(5, 6)) for name, _ in rows}
            rows_wanted = demands[router].update(counts, now)
            update_end = time.process_time()
            process_id = ProcessId(str(router), "b")
            voter.request(process_id, 1, holders[router].applied_sequence("v"), rows_wanted, now)
            share = voter.grant(process_id, number + 1, now)
            grant_end = time.process_time()
            holders[router].granted("v", number + 1, now, share)
            holders[router].total(now)
            at_router += time.process_time() - grant_end + update_end - start
            at_voter += grant_end - update_end
        seconds = rounds * interval_ns / 1e9
        print(
            f"    rules at {routers} routers: a voter {at_voter / seconds:.2%} of a core, "
            f"a router {at_router / seconds / routers * VOTERS:.4%}"
        )


def main() -> None:
    """Play all combinations, and print a row for each."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--routers", type=int, nargs="*", default=[930])
    parser.add_argument("--quota", type=float, nargs="*", default=[40.0, 400.0, 4000.0])
    parser.add_argument("--spread", type=float, nargs="*", default=[1.2])
    parser.add_argument("--demand", type=float, default=0.8)
    parser.add_argument("--split", choices=SPLITS, nargs="*", default=SPLITS)
    parser.add_argument("--dead", type=int, default=0, help="voters that die at the shift")
    parser.add_argument(
        "--window", type=float, default=0.0, help="window in seconds; 0: the suppressor's default"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--cost", action="store_true", help="print bytes and CPU of the lease exchange instead"
    )
    options = parser.parse_args()
    if options.cost:
        cost(options.routers[0])
        return
    print("split        routers  quota  spread  demand  before  first 10 s  after   most in a window  out")
    for quota in options.quota:
        for routers in options.routers:
            for spread in options.spread:
                for split in options.split:
                    run = argparse.Namespace(**vars(options))
                    run.quota, run.routers, run.spread, run.split = quota, routers, spread, split
                    result = QuotaSimulation(run).run()
                    rows = [result.get(part, math.nan) for part in ("before", "first 10 s", "after")]
                    print(
                        f"{split:<12} {routers:7d} {quota:6.0f} {spread:7.1f} {options.demand:7.1f} "
                        f"{rows[0]:7.3f} {rows[1]:11.3f} {rows[2]:6.3f} {result['most']:18.2f} "
                        f"{result['most out']:4.2f}",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
