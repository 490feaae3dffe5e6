"""What stand-ins tell whoever watches: the only way from them to a count or a check."""

from __future__ import annotations

from typing import Protocol

from pebblepass.emulators.advertised import AdvertisedTimeout
from pebblepass.emulators.effects import RepeatedEffect


class EmulatorObserver(Protocol):
    """Takes what stand-ins see; times are the loop's, in seconds."""

    def attempt_received(self, request: str, server: str, now: float) -> None:
        """An attempt has come whole to a mirror node or the store."""

    def timeout_advertised(self, advertised: AdvertisedTimeout) -> None:
        """An attempt has told its server how much time its client has left, or has failed to."""

    def attempt_answered(self, request: str, server: str, outcome: str, now: float) -> None:
        """An attempt was answered: `hit`, `miss`, `stored`, `fetched`, `busy`, `error` or `spoilt`."""

    def effect_repeated(self, doubled: RepeatedEffect) -> None:
        """An effect has happened twice."""

    def registry_update_sent(self, router: str, server: str, state: str, now: float) -> None:
        """The registry has written to a router that a server is `up`, `draining` or `removed`."""

    def router_knows_start(self, request: str, server: str) -> bool:
        """Whether the router that holds this request was told of the server's last start."""

    def cold_node_overloaded(self, server: str, informed_share: float, now: float) -> None:
        """A cold node was sent too much; that share of it came from routers told of its start."""


class NullObserver:
    """A observer that takes no notice; for stand-ins used on their own."""

    def attempt_received(self, request: str, server: str, now: float) -> None:
        """Take no notice."""

    def timeout_advertised(self, advertised: AdvertisedTimeout) -> None:
        """Take no notice."""

    def attempt_answered(self, request: str, server: str, outcome: str, now: float) -> None:
        """Take no notice."""

    def effect_repeated(self, doubled: RepeatedEffect) -> None:
        """Take no notice."""

    def registry_update_sent(self, router: str, server: str, state: str, now: float) -> None:
        """Take no notice."""

    def router_knows_start(self, request: str, server: str) -> bool:
        """NullObserver was told."""
        return False

    def cold_node_overloaded(self, server: str, informed_share: float, now: float) -> None:
        """Take no notice."""
