"""Open requests, the rules for repeating them, and the multi-get commands that they belong to."""

from __future__ import annotations

from collections import deque

from pebblepass.decisions import interface as api
from pebblepass.decisions.health import Node
from pebblepass.decisions.interface import DedupScope, Effect
from pebblepass.decisions.suppressor import Suppressor


class Command:
    """A multi-get command: its open requests, and those whose fetch has to wait."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.open_requests = 0
        self.fetches = 0
        """Requests that hold one of the command's fetch slots: being fetched, or in the fetch queue."""
        self.queued: deque[Request] = deque()
        """Requests that wait for one of these fetches to end, the oldest first."""


class Request:
    """A client's request; it stays open after its final answer until its last attempt has ended."""

    # Placement.
    slot = 0
    popularity = 0.0  # its slot's fraction of recent requests, 0 to 1
    command: Command | None = None

    # Attempts.
    attempts = 0
    node: Node | None = None  # the server of the last attempt that is no hedge
    sent_at = 0  # clock time of that attempt, nanoseconds
    hedge_node: Node | None = None  # the server of a hedge in flight
    may_have_run: tuple[Node, int] | None = None  # the first attempt that may have run: server, clock time
    in_flight = False  # an attempt that is no hedge is in flight
    is_fetching = False  # and that attempt is at the origin
    is_refetch = False  # its fetch was lost, and is repeated
    is_retry = False  # the client repeats an earlier request

    # Waiting.
    is_waiting = False  # for a timer, and possibly for one of the three below
    in_command_queue = False  # for one of its command's fetches to end
    in_origin_queue = False  # for one of this router's fetches to end
    leads_flight = False  # other reads of its key wait for its fetch
    holds_command_slot = False  # it counts among its command's fetches
    is_done = False  # it has its final answer

    def __init__(
        self,
        name: str,
        key: str | None,
        deadline: int,
        is_write: bool,
        request_class: api.RequestClass,
        suppressor: Suppressor,
    ) -> None:
        self.id, self.key, self.deadline, self.is_write = name, key, deadline, is_write
        self.request_class, self.suppressor = request_class, suppressor
        self.excluded: list[Node] = []
        """Servers that it is not sent to again."""

    def may_send(self, node: Node, now: int) -> bool:
        """Whether it may be sent to this server at clock time `now` (nanoseconds).

        A request that may have run is repeated only if that is harmless: an idempotent one anywhere; one with
        an idempotency key at servers that drop duplicates, for as long as they remember the key.
        """
        if self.may_have_run is None or self.request_class.effect is Effect.IDEMPOTENT:
            return True
        candidate, first_server = node.entry, self.may_have_run[0].entry
        if (
            self.request_class.effect is Effect.NOT_IDEMPOTENT
            or now - self.may_have_run[1] >= self.request_class.dedup_window
        ):
            return False
        if self.request_class.dedup_scope is DedupScope.ALL:
            return True
        return candidate.zone == first_server.zone and (
            self.request_class.dedup_scope is DedupScope.ZONE or candidate.cell == first_server.cell
        )

    def resend_deadline(self) -> int:
        """Return the clock time in nanoseconds after which it must not be sent again; 0: no limit."""
        if self.may_have_run is None or self.request_class.effect is not Effect.IDEMPOTENCY_KEY:
            return 0
        return self.may_have_run[1] + self.request_class.dedup_window

    def may_repeat(self) -> bool:
        """Whether a repeat is harmless at any server, whatever the outcome of earlier attempts."""
        keyed_anywhere = (
            self.request_class.effect is Effect.IDEMPOTENCY_KEY
            and self.request_class.dedup_scope is DedupScope.ALL
        )
        return self.request_class.effect is Effect.IDEMPOTENT or keyed_anywhere

    def may_reject(self) -> bool:
        """Whether it may be rejected, which promises the client that a retry is harmless."""
        return self.may_have_run is None or self.may_repeat()

    def take_command_slot(self) -> None:
        """Count this request's queued or started fetch as one of its command's."""
        if self.command is not None and not self.holds_command_slot:
            self.holds_command_slot = True
            self.command.fetches += 1

    def free_command_slot(self) -> Command | None:
        """Stop counting the fetch; return the command, which may start another one, or None."""
        if self.command is None or not self.holds_command_slot:
            return None
        self.holds_command_slot = False
        self.command.fetches -= 1
        return self.command
