"""The interface through which emulators report what they see to counters and checks."""

from __future__ import annotations

from typing import Protocol

from pebblepass.emulators.advertised import AdvertisedTimeout
from pebblepass.emulators.effects import RepeatedEffect


class EmulatorObserver(Protocol):
    """Receives events from the emulators; times are loop times in seconds."""

    def attempt_received(self, request: str, server: str, now: float) -> None:
        """An attempt has arrived in full at a cache server or the store."""

    def timeout_advertised(self, advertised: AdvertisedTimeout) -> None:
        """An attempt has arrived, with the timeout that it advertises or without one."""

    def attempt_answered(self, request: str, server: str, outcome: str, now: float) -> None:
        """An attempt was answered: `hit`, `miss`, `stored`, `fetched`, `busy`, `error` or `spoilt`."""

    def effect_repeated(self, effect: RepeatedEffect) -> None:
        """A write has taken effect more than once."""

    def registry_update_sent(self, router: str, server: str, state: str, now: float) -> None:
        """The registry has sent a router the state of a server: `up`, `draining` or `removed`."""

    def router_knows_start(self, request: str, server: str) -> bool:
        """Whether the router of this request has been sent the server's latest start."""

    def cold_node_overloaded(self, server: str, informed_share: float, now: float) -> None:
        """A cold node was overloaded; `informed_share` of the work came from routers that knew its start."""


class NullObserver:
    """Ignores all events; for emulators without checks."""

    def attempt_received(self, request: str, server: str, now: float) -> None:
        """Ignore the event."""

    def timeout_advertised(self, advertised: AdvertisedTimeout) -> None:
        """Ignore the event."""

    def attempt_answered(self, request: str, server: str, outcome: str, now: float) -> None:
        """Ignore the event."""

    def effect_repeated(self, effect: RepeatedEffect) -> None:
        """Ignore the event."""

    def registry_update_sent(self, router: str, server: str, state: str, now: float) -> None:
        """Ignore the event."""

    def router_knows_start(self, request: str, server: str) -> bool:
        """Return False: no registry updates are tracked."""
        return False

    def cold_node_overloaded(self, server: str, informed_share: float, now: float) -> None:
        """Ignore the event."""
