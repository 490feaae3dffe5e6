"""The emulated nodes, store and registry agents of a rehearsal, and the faults injected into them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from zlib import crc32

from pebblepass.decisions.interface import NS_PER_S, Settings
from pebblepass.decisions.interface import Server as ListedServer
from pebblepass.decisions.settings import read_settings
from pebblepass.decisions.slot_table import SLOTS, SlotTable
from pebblepass.emulators.core import CoreParameters
from pebblepass.emulators.effects import EffectLog
from pebblepass.emulators.listeners import SetAddressSilent
from pebblepass.emulators.node import DRAIN_S, EmulatedNode, NodeSetup, WorkRange
from pebblepass.emulators.registry import RegistryAgent
from pebblepass.emulators.store import EmulatedStore, StoreSetup
from pebblepass.simulation.plan import STORE_ID, FaultEvent, NodeFacts, Plan, RouterFacts, Streams
from pebblepass.simulation.recovery import Recorder
from pebblepass.simulation.rule_checker import RuleChecker

KIND, STORE_KIND = "std-1c", "origin"
FALL_MULTIPLE, FALL_S = 4.0, 2.0  # a cold node fails when sent 4 times what it can serve in 2 s
COLD_SHARE, COLD_S = 0.32, 8.9  # the worst case of a cold node, as stated in the settings
DIAL_TIMEOUT_S, IDLE_CLOSE_S = 0.12, 10.0
STREAMS_PER_CONNECTION = 32
MAX_OPEN = 5000

_SEMANTICS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}


def platform_settings(plan: Plan, router: RouterFacts) -> dict[str, Any]:
    """Return the settings of a router in the format of the platform."""
    scenario = plan.scenario
    rate = scenario.traffic.rate
    return {
        "balancers": len(plan.routers),
        "ceilings": {
            "cancel": True,
            "dialTimeoutNs": int(DIAL_TIMEOUT_S * NS_PER_S),
            "idleCloseNs": int(IDLE_CLOSE_S * NS_PER_S),
            "maxOpen": MAX_OPEN,
            "maxRetryAfterNs": 1_200_000_000,
            "mayProbe": True,
            "mostTries": 4,
            "retryAfter": False,
            "secondCopies": True,
            "streamsPerConn": STREAMS_PER_CONNECTION,
        },
        "classes": [
            {
                "name": cls.name,
                "aimNs": int(cls.aim_ms * 1e6),
                "giveUpNs": int(cls.deadline_ms * 1e6),
                "semantics": _SEMANTICS[cls.effect],
                "group": "all",
                "dedupWindowNs": int(cls.window_s * NS_PER_S),
                "lateValue": cls.late_worth,
                "worth": cls.worth,
            }
            for cls in scenario.classes
        ],
        "familyInfo": {"mode": "aside", "originKind": 1},
        "feedback": {"fields": ["latency_ms", "queue"], "how": "answers"},
        "kinds": [KIND, STORE_KIND],
        "membershipMode": "automatic",
        "rules": {
            "coldNs": int(COLD_S * NS_PER_S),
            "coldShare": COLD_SHARE,
            "drainGraceNs": 500_000_000,
            "fallMultiple": FALL_MULTIPLE,
            "fallNs": int(FALL_S * NS_PER_S),
        },
        "tenants": [
            {"name": n.name, "portion": n.share, "quotaPerS": rate * n.share * n.quota}
            for n in scenario.namespaces
        ],
        "zone": router.zone,
        "failureDomains": list(scenario.fleet.zones),
    }


class EmulatedServices:
    """Runs the emulated nodes, the store and the registry agents, and injects faults into them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        plan: Plan,
        rule_checker: RuleChecker,
        unix_ns: Callable[[], int],
        silence: SetAddressSilent,
        recorder: Recorder,
    ) -> None:
        self.loop, self.plan, self.rule_checker, self._recorder = loop, plan, rule_checker, recorder
        self._started_at = 0.0
        self._unix_ns, self._silence = unix_ns, silence
        scenario = plan.scenario
        streams = Streams(plan.seed)
        self.effects = EffectLog(
            {cls.name: cls.window_s for cls in scenario.classes}, rule_checker.effect_repeated
        )
        self._nodes_with_miss: dict[str, list[EmulatedNode]] = {}
        self.nodes = {properties.id: self._node(properties, streams) for properties in plan.nodes}
        self._spares = [self._node(properties, streams) for properties in plan.spares]
        store_zone = scenario.fleet.zones[0]
        self.store = EmulatedStore(
            loop,
            StoreSetup(
                id=STORE_ID,
                core=CoreParameters(1.0, plan.store.slots, plan.store.queue, shared=False),
                work=plan.store.work,
                error_rate=plan.store.error_rate,
                value_bytes=scenario.traffic.value_bytes,
                delays={zone: plan.delays[zone, store_zone] for zone in scenario.fleet.zones},
            ),
            streams.of("store answers"),
            self.effects,
            rule_checker,
            self._fetched,
            self._written,
            silence,
        )
        self.agents: dict[str, RegistryAgent] = {}
        self._announcement_rng = streams.of("registry")
        self._zones = {properties.id: properties.zone for properties in (*plan.nodes, *plan.spares)}
        self._started_ms: dict[str, int] = {}

    def _node(self, properties: NodeFacts, streams: Streams) -> EmulatedNode:
        scenario = self.plan.scenario
        return EmulatedNode(
            self.loop,
            NodeSetup(
                id=properties.id,
                core=CoreParameters(
                    speed=properties.speed,
                    slots=properties.slots,
                    queue=properties.queue,
                    thrash_at=properties.thrash_at,
                    thrash=properties.thrash,
                    pause_every=properties.pause_every,
                    pause=properties.pause,
                    cold_capacity=properties.cold_capacity,
                    warm_up_time=properties.warm_up_time,
                ),
                memory=properties.memory,
                report_period=properties.report_period,
                work_by_class={
                    cls.name: WorkRange(cls.work_ms.least / 1000, cls.work_ms.most / 1000)
                    for cls in scenario.classes
                },
                miss_work=scenario.node.miss_work,
                error_rate=scenario.node.error_rate,
                value_bytes=scenario.traffic.value_bytes,
                delays={zone: self.plan.delays[zone, properties.zone] for zone in scenario.fleet.zones},
                overload_multiple=FALL_MULTIPLE,
                fall_window=FALL_S,
            ),
            streams.of(f"node {properties.id} answers"),
            self.effects,
            self.rule_checker,
            self._missed,
            self._silence,
            self._recorder.record_read,
        )

    def start_clock(self) -> None:
        """Mark the start of the traffic, which the times of fetches refer to."""
        self._started_at = self.loop.time()

    async def start(self) -> None:
        """Start all emulators, with the copies that the fleet would have without disturbances."""
        for node in self.nodes.values():
            await node.start()
        await self.store.start()
        for router in self.plan.routers:
            entries = [self._entry(name, router.zone, "up") for name in self.nodes]
            agent = RegistryAgent(
                self.loop, router.id, [*entries, self._store_entry(router.zone)], self.rule_checker
            )
            await agent.start()
            self.agents[router.id] = agent
        self._fill_caches()

    def _fill_caches(self) -> None:
        """Store the popular keys on the nodes that the slot table assigns; the most popular is used last."""
        settings: Settings = read_settings(platform_settings(self.plan, self.plan.routers[0]))
        table = SlotTable(settings)
        table.update([ListedServer(name, kind=KIND) for name in self.nodes], [])
        for key in reversed(self.plan.popular):
            assigned = table.rank(crc32(key.encode()) % SLOTS, 0)[0]
            self.nodes[assigned.entry.id].store_copy(key)

    def _entry(self, name: str, zone: str, lifecycle: str) -> dict[str, Any]:
        host, port = self.nodes[name].listeners.address(zone)
        return {
            "instanceId": name,
            "hostPort": f"{host}:{port}",
            "zone": self._zones[name],
            "machineType": KIND,
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": self._started_ms.get(name, 0),
        }

    def _store_entry(self, zone: str) -> dict[str, Any]:
        host, port = self.store.listeners.address(zone)
        return {
            "instanceId": STORE_ID,
            "hostPort": f"{host}:{port}",
            "zone": self.plan.scenario.fleet.zones[0],
            "machineType": STORE_KIND,
            "cell": 0,
            "lifecycle": "up",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    # Cached copies

    def _missed(self, request: str, node: EmulatedNode) -> None:
        self._nodes_with_miss.setdefault(request, []).append(node)

    def _fetched(self, request: str, key: str) -> None:
        nodes = self._nodes_with_miss.pop(request, ())
        cached_elsewhere = any(key in node.copies for node in self.nodes.values() if node not in nodes)
        for node in nodes:
            node.store_copy(key)
        at = self.loop.time() - self._started_at
        self._recorder.record_fetch(at, request, key, [node.setup.id for node in nodes], cached_elsewhere)

    def _written(self, key: str) -> None:
        for node in self.nodes.values():
            node.copies.pop(key, None)

    # Fault injection

    def _announce(self, name: str, lifecycle: str) -> None:
        """Send a change to the registry agent of each router, each after a delay drawn for it."""
        delays = self.plan.scenario.fleet.told_s
        for router in self.plan.routers:
            entry = self._entry(name, router.zone, lifecycle)
            delay = delays.least + (delays.most - delays.least) * self._announcement_rng.random()
            self.loop.call_later(delay, self._change_entry, router.id, entry)

    def _change_entry(self, router: str, entry: dict[str, Any]) -> None:
        self.agents[router].apply_change(entry)

    def inject(self, event: FaultEvent) -> str:
        """Inject a fault of a node, the store, the registry or the copies; returns its description."""
        names = list(self.nodes)
        name = self.plan.nodes[event.place % len(self.plan.nodes)].id
        if name not in self.nodes:
            name = names[event.place % len(names)]
        node, duration = self.nodes[name], event.length
        match event.kind:
            case "invalidation":
                for cache_node in self.nodes.values():
                    cache_node.drop_copies(event.share)
                return f"{event.share:.0%} of the cached copies are invalidated"
            case "store-down":
                self.store.kill()
                self.loop.call_later(duration, self.store.restart)
                return f"the store is down for {duration:g} s"
            case "registry-down":
                for agent in self.agents.values():
                    agent.set_down(True)
                self.loop.call_later(duration, self._restore_registry)
                return f"the registry is down for {duration:g} s"
            case "node-kill":
                node.kill()
                self._announce(name, "removed")
                return f"{name} is killed"
            case "node-silent":
                node.listeners.set_silent(True)
                self.loop.call_later(duration, node.listeners.set_silent, False)
                return f"{name} is unreachable for {duration:g} s"
            case "node-drain":
                node.faults.draining = True
                self._announce(name, "draining")
                self.loop.call_later(DRAIN_S + self.plan.scenario.fleet.told_s.most, self._end_drain, name)
                return f"{name} drains"
            case "node-restart":
                node.kill()
                self.loop.call_later(duration, self._restart, name)
                return f"{name} is killed and restarts after {duration:g} s"
            case "node-replace":
                return self._replace(name)
            case "node-slow":
                node.core_runner.set_speed_factor(event.factor)
                self.loop.call_later(duration, node.core_runner.set_speed_factor, 1.0)
                return f"{name} has {event.factor:.0%} of its speed for {duration:g} s"
            case "node-refuse":
                node.listeners.stop_accepting()
                self.loop.call_later(duration, node.listeners.reopen)
                return f"{name} refuses connections for {duration:g} s"
            case "node-half" | "node-garble" | "node-reset":
                fault = event.kind.removeprefix("node-")
                setattr(node.faults, fault, event.share)
                self.loop.call_later(duration, setattr, node.faults, fault, 0.0)
                return f"{name}: {event.share:.0%} of its answers are corrupted ({fault}) for {duration:g} s"
        raise ValueError(f"unknown kind of fault: {event.kind}")

    def _restore_registry(self) -> None:
        for agent in self.agents.values():
            agent.set_down(False)

    def _end_drain(self, name: str) -> None:
        node = self.nodes[name]
        node.listeners.stop_accepting()
        node.listeners.reset_connections()
        self._announce(name, "removed")

    def _restart(self, name: str) -> None:
        self.rule_checker.server_started(name)
        self._started_ms[name] = self._unix_ns() // 1_000_000
        self.nodes[name].restart()
        self._announce(name, "up")

    def _replace(self, name: str) -> str:
        """Kill a node and start another one, with an id of its own, at the same address."""
        old, new = self.nodes[name], self._spares.pop(0)
        old.kill()
        self._announce(name, "removed")
        new.listeners.ports = dict(old.listeners.ports)
        self.nodes[new.setup.id] = new
        self._started_ms[new.setup.id] = self._unix_ns() // 1_000_000
        self.rule_checker.server_started(new.setup.id)
        self.loop.create_task(new.start(cold=True))
        self._announce(new.setup.id, "up")
        return f"{name} is killed, and {new.setup.id} starts at its address"
