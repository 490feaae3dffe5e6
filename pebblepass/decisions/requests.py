"""Open requests, the rules of repeating them, and the commands that several of them belong to."""

from __future__ import annotations

from collections import deque

from pebblepass.decisions import interface as api
from pebblepass.decisions.health import Node
from pebblepass.decisions.interface import DedupScope, Effect
from pebblepass.decisions.suppressor import Suppressor


class Command:
    """A command of several keys: how many requests are open or being fetched, and which wait to be."""

    def __init__(self, name: str) -> None:
        self.name, self.open, self.fetching = name, 0, 0
        self.waiting: deque[Request] = deque()


class Request:
    """A client's request; it is kept after its final answer until its last attempt has ended."""

    slot = attempts = sent_at = 0
    popularity = 0.0  # the fraction of recent requests that its slot had
    node: Node | None = None
    may_have_run: tuple[Node, int] | None = None  # the first attempt that may have run: node, send time
    fetching = is_refetch = in_flight = leads_flight = waiting = done = False
    command: Command | None = None
    in_command_queue = False  # waits for one of its command's fetches to end
    in_origin_queue = False  # waits for one of this router's fetches to end
    is_retry = False  # the client's retry
    holds_command_slot = False  # counts as one of its command's fetches
    hedge_node: Node | None = None  # the server of a hedged second attempt

    def __init__(
        self,
        name: str,
        key: str | None,
        deadline: int,
        write: bool,
        cls: api.RequestClass,
        suppressor: Suppressor,
    ) -> None:
        self.id, self.key, self.deadline, self.write = name, key, deadline, write
        self.request_class, self.suppressor = cls, suppressor
        self.excluded: list[Node] = []

    def may_send(self, node: Node, now: int) -> bool:
        """Rule 2: repeat what may have run only at servers that drop duplicates, within their window."""
        if self.may_have_run is None or self.request_class.effect is Effect.IDEMPOTENT:
            return True
        here, there = node.entry, self.may_have_run[0].entry
        if (
            self.request_class.effect is Effect.NOT_IDEMPOTENT
            or now - self.may_have_run[1] >= self.request_class.dedup_window
        ):
            return False
        if self.request_class.dedup_scope is DedupScope.ALL:
            return True
        return here.zone == there.zone and (
            self.request_class.dedup_scope is DedupScope.ZONE or here.cell == there.cell
        )

    def resend_deadline(self) -> int:
        """Return the clock time in nanoseconds after which it must not be sent again; 0: no such time."""
        if self.may_have_run is None or self.request_class.effect is not Effect.IDEMPOTENCY_KEY:
            return 0
        return self.may_have_run[1] + self.request_class.dedup_window

    def may_repeat(self) -> bool:
        """Whether a repeat is harmless at any server, whatever became of earlier attempts."""
        keyed_anywhere = (
            self.request_class.effect is Effect.IDEMPOTENCY_KEY
            and self.request_class.dedup_scope is DedupScope.ALL
        )
        return self.request_class.effect is Effect.IDEMPOTENT or keyed_anywhere

    def may_refuse(self) -> bool:
        """Rule 2: a refusal promises the client that a retry is harmless."""
        return self.may_have_run is None or self.may_repeat()

    def take_command_slot(self) -> None:
        """Count this request's queued or started fetch as one of its command's."""
        if self.command is not None and not self.holds_command_slot:
            self.holds_command_slot = True
            self.command.fetching += 1

    def free_command_slot(self) -> Command | None:
        """Stop counting it; return the command that may start another fetch, if any."""
        if self.command is None or not self.holds_command_slot:
            return None
        self.holds_command_slot = False
        self.command.fetching -= 1
        return self.command
