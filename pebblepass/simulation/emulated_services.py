"""The world of a rehearsal: stand-ins made from a plan, wired to the rule_checker, and what breaks in it."""

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
FALL_MULTIPLE, FALL_S = 4.0, 2.0
COLD_SHARE, COLD_S = 0.32, 8.9  # what the settings tell of a cold node's worst case
DIAL_TIMEOUT_S, IDLE_CLOSE_S = 0.12, 10.0
STREAMS_PER_CONNECTION = 32
MAX_OPEN = 5000

_SEMANTICS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}


def platform_settings(plan: Plan, router: RouterFacts) -> dict[str, Any]:
    """The settings of a router, in the form in which the platform tells them."""
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
    """Nodes, store and registry agents, and the fault_events that touch them."""

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
        self._begun = 0.0
        self._unix_ns, self._silence = unix_ns, silence
        scenario = plan.scenario
        streams = Streams(plan.seed)
        self.effects = EffectLog(
            {cls.name: cls.window_s for cls in scenario.classes}, rule_checker.effect_repeated
        )
        self._missed_at: dict[str, list[EmulatedNode]] = {}
        self.nodes = {facts.id: self._node(facts, streams) for facts in plan.nodes}
        self._spares = [self._node(facts, streams) for facts in plan.spares]
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
        self._told_rng = streams.of("registry")
        self._zones = {facts.id: facts.zone for facts in (*plan.nodes, *plan.spares)}
        self._started_ms: dict[str, int] = {}

    def _node(self, facts: NodeFacts, streams: Streams) -> EmulatedNode:
        scenario = self.plan.scenario
        return EmulatedNode(
            self.loop,
            NodeSetup(
                id=facts.id,
                core=CoreParameters(
                    speed=facts.speed,
                    slots=facts.slots,
                    queue=facts.queue,
                    thrash_at=facts.thrash_at,
                    thrash=facts.thrash,
                    pause_every=facts.pause_every,
                    pause=facts.pause,
                    cold_capacity=facts.cold_capacity,
                    warm_up_time=facts.warm_up_time,
                ),
                memory=facts.memory,
                report_period=facts.report_period,
                works={
                    cls.name: WorkRange(cls.work_ms.least / 1000, cls.work_ms.most / 1000)
                    for cls in scenario.classes
                },
                miss_work=scenario.node.miss_work,
                error_rate=scenario.node.error_rate,
                value_bytes=scenario.traffic.value_bytes,
                delays={zone: self.plan.delays[zone, facts.zone] for zone in scenario.fleet.zones},
                overload_multiple=FALL_MULTIPLE,
                fall_window=FALL_S,
            ),
            streams.of(f"node {facts.id} answers"),
            self.effects,
            self.rule_checker,
            self._missed,
            self._silence,
            self._recorder.record_read,
        )

    def begin(self) -> None:
        """Clients begin to ask now."""
        self._begun = self.loop.time()

    async def start(self) -> None:
        """Start everything, with the copies that the fleet would hold on a calm day."""
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
        self._fill()

    def _fill(self) -> None:
        """Keep the popular keys where a router's slot table places them, the most popular used last."""
        settings: Settings = read_settings(platform_settings(self.plan, self.plan.routers[0]))
        table = SlotTable(settings)
        table.update([ListedServer(name, kind=KIND) for name in self.nodes], [])
        for key in reversed(self.plan.popular):
            holder = table.rank(crc32(key.encode()) % SLOTS, 0)[0]
            self.nodes[holder.entry.id].store_copy(key)

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

    # Copies

    def _missed(self, request: str, node: EmulatedNode) -> None:
        self._missed_at.setdefault(request, []).append(node)

    def _fetched(self, request: str, key: str) -> None:
        nodes = self._missed_at.pop(request, ())
        elsewhere = any(key in node.copies for node in self.nodes.values() if node not in nodes)
        for node in nodes:
            node.store_copy(key)
        at = self.loop.time() - self._begun
        self._recorder.record_fetch(at, request, key, [node.setup.id for node in nodes], elsewhere)

    def _written(self, key: str) -> None:
        for node in self.nodes.values():
            node.copies.pop(key, None)

    # What happens

    def _announce(self, name: str, lifecycle: str) -> None:
        """Tell every router of a change, each so much later."""
        told = self.plan.scenario.fleet.told_s
        for router in self.plan.routers:
            entry = self._entry(name, router.zone, lifecycle)
            delay = told.least + (told.most - told.least) * self._told_rng.random()
            self.loop.call_later(delay, self._tell, router.id, entry)

    def _tell(self, router: str, entry: dict[str, Any]) -> None:
        self.agents[router].apply_change(entry)

    def happen(self, event: FaultEvent) -> str:
        """Let something happen to a node, the store, the registry or the copies; returns a line of it."""
        names = list(self.nodes)
        name = self.plan.nodes[event.place % len(self.plan.nodes)].id
        if name not in self.nodes:
            name = names[event.place % len(names)]
        node, later = self.nodes[name], event.length
        match event.kind:
            case "invalidation":
                for each in self.nodes.values():
                    each.drop_copies(event.share)
                return f"{event.share:.0%} of the kept copies go void"
            case "store-down":
                self.store.kill()
                self.loop.call_later(later, self.store.restart)
                return f"the store is down for {later:g} s"
            case "registry-down":
                for agent in self.agents.values():
                    agent.set_down(True)
                self.loop.call_later(later, self._registry_back)
                return f"the registry is down for {later:g} s"
            case "node-kill":
                node.kill()
                self._announce(name, "removed")
                return f"{name} dies"
            case "node-silent":
                node.listeners.set_silent(True)
                self.loop.call_later(later, node.listeners.set_silent, False)
                return f"{name} is cut off for {later:g} s"
            case "node-drain":
                node.faults.draining = True
                self._announce(name, "draining")
                self.loop.call_later(DRAIN_S + self.plan.scenario.fleet.told_s.most, self._drained, name)
                return f"{name} drains"
            case "node-restart":
                node.kill()
                self.loop.call_later(later, self._restarted, name)
                return f"{name} dies, to start again {later:g} s later"
            case "node-replace":
                return self._replace(name)
            case "node-slow":
                node.core_runner.set_speed_factor(event.factor)
                self.loop.call_later(later, node.core_runner.set_speed_factor, 1.0)
                return f"{name} has {event.factor:.0%} of its speed for {later:g} s"
            case "node-refuse":
                node.listeners.stop_accepting()
                self.loop.call_later(later, node.listeners.reopen)
                return f"{name} refuses connections for {later:g} s"
            case "node-half" | "node-garble" | "node-reset":
                trouble = event.kind.removeprefix("node-")
                setattr(node.faults, trouble, event.share)
                self.loop.call_later(later, setattr, node.faults, trouble, 0.0)
                return f"{name}: {event.share:.0%} of its answers are spoilt ({trouble}) for {later:g} s"
        raise ValueError(f"nothing known happens as {event.kind}")

    def _registry_back(self) -> None:
        for agent in self.agents.values():
            agent.set_down(False)

    def _drained(self, name: str) -> None:
        node = self.nodes[name]
        node.listeners.stop_accepting()
        node.listeners.reset_connections()
        self._announce(name, "removed")

    def _restarted(self, name: str) -> None:
        self.rule_checker.server_started(name)
        self._started_ms[name] = self._unix_ns() // 1_000_000
        self.nodes[name].restart()
        self._announce(name, "up")

    def _replace(self, name: str) -> str:
        """Another node, under its own id, comes up at the address of one that dies."""
        old, new = self.nodes[name], self._spares.pop(0)
        old.kill()
        self._announce(name, "removed")
        new.listeners.ports = dict(old.listeners.ports)
        self.nodes[new.setup.id] = new
        self._started_ms[new.setup.id] = self._unix_ns() // 1_000_000
        self.rule_checker.server_started(new.setup.id)
        self.loop.create_task(new.start(cold=True))
        self._announce(new.setup.id, "up")
        return f"{name} dies, and {new.setup.id} starts at its address"
