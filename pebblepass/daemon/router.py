"""The host of the decision module: feeds it events, carries out its actions, and keeps the open requests."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Protocol, cast

from pebblepass.control.counters import Counters
from pebblepass.daemon.abandoned_writes import AbandonedWrites
from pebblepass.daemon.attempts import Attempt, OpenRequest, ReplySlot
from pebblepass.daemon.caches import CacheConnection
from pebblepass.daemon.connection_pool import Pool
from pebblepass.daemon.deadlines import Deadline, Deadlines
from pebblepass.daemon.health_check import HealthCheckExchange
from pebblepass.daemon.lag import LoopLag
from pebblepass.daemon.load_reports import LoadReportParser
from pebblepass.daemon.multi_get_host import MultiGetHost
from pebblepass.daemon.origin import OriginConnection
from pebblepass.daemon.reply import FAILED
from pebblepass.decisions import (
    Action,
    AttemptEnded,
    BatchArrived,
    ClientDisconnected,
    Effect,
    Event,
    EventLoopLagged,
    Fail,
    HealthCheck,
    ListKind,
    Outcome,
    Reason,
    Reject,
    RequestArrived,
    Router,
    RouterState,
    Send,
    SendBatch,
    Server,
    ServersChanged,
    ServerState,
    SetTimer,
    Settings,
    Subscribe,
    TimerFired,
)
from pebblepass.discovery.endpoint_list import EndpointList
from pebblepass.wire.resp import Command

if TYPE_CHECKING:
    from pebblepass.accounting.ledger import Ledger

NS_PER_MS = 1_000_000
REFUSED = b"-BUSY\r\n"
PATH = "RESP2 client"

log = logging.getLogger("pebblepass")


class NanosecondClock(Protocol):
    """An event loop that has its time in nanoseconds too, as those of the daemon and the simulation do."""

    def time_ns(self) -> int:
        """Return the loop's time in nanoseconds."""


class RouterHost:
    """Gives the decision module events one at a time, and carries out its actions."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: Settings, seed: int, pool: Pool, max_open: int
    ) -> None:
        self.loop, self.settings = loop, settings
        self.now: Callable[[], int] = cast(NanosecondClock, loop).time_ns
        """Returns the loop's time in nanoseconds."""
        self.call_at: Callable[[int, Callable[[], None]], Deadline] = Deadlines(loop, self.now).add
        """Calls back once `now` has reached a time, and never before."""
        self.ready = False
        self.ledger: Ledger | None = None
        """Accounts for every request, if the operator has configured it; set by its owner."""
        self.subscribe: Callable[[], None] = lambda: None
        """Starts the watch of the endpoint list; set by the owner of the discovery client."""
        self.multi_gets: MultiGetHost | None = None
        """Handles multi-gets, if the operator has configured them; set by its owner."""
        self._router = Router(settings, seed)
        self._pool, self._max_open = pool, max_open
        self.classes = {cls.name for cls in settings.classes}
        self.counters = Counters(cls.name for cls in settings.classes)
        self._health_check_timeout = min(cls.latency_target for cls in settings.classes)
        self._requests: dict[str, OpenRequest] = {}
        self._not_repeatable = {cls.name for cls in settings.classes if cls.effect is not Effect.IDEMPOTENT}
        self._abandoned = AbandonedWrites(max(cls.deadline for cls in settings.classes))
        self.on_unrepeatable_write: Callable[[str], None] | None = None
        """Called with the id of each write that must not be sent again, if another process has to know."""
        self._origins: set[str] = set()
        self.kinds: dict[str, str] = {}
        """The kinds of the servers on the list, by id."""
        self._events: deque[Event] = deque()
        self._handling = self._list_failed = False
        self.parse_load_report: Callable[[bytes | None], tuple[float, ...] | None]
        self.parse_load_report = LoadReportParser(settings.load_fields).parse
        """Returns a load report's values in the order of the settings."""
        self.lag = LoopLag(loop, self.now, lambda lag: self.handle_event(EventLoopLagged(lag)))

    @property
    def open_request_count(self) -> int:
        """Number of requests without a final answer, or with one that is still being streamed."""
        return len(self.open_requests())

    def open_requests(self) -> dict[str, None]:
        """Return the ids of the requests without a complete final answer, the oldest first."""
        request_ids = {
            request.id: None
            for request in self._requests.values()
            if not request.closed or (request.streaming and not request.accounted)
        }
        if self.multi_gets is not None:
            request_ids.update(dict.fromkeys(self.multi_gets.open_ids()))
        return request_ids

    def limits(self) -> dict[str, float]:
        """Return the origin fetches per second that are allowed now, by namespace."""
        return self._router.limits()

    def demand(self) -> dict[str, int]:
        """Return the number of origin fetches requested so far, and of writes, by namespace."""
        return self._router.demand()

    def ready_servers(self) -> list[Server]:
        """Return the ready servers of the last endpoint list."""
        return self._router.ready_servers()

    def export_state(self) -> RouterState:
        """Return the learned state of the decision module."""
        return self._router.export_state(self.now())

    def metrics_lines(self) -> list[str]:
        """Return the platform's metrics, one line each."""
        nodes = sum(kind != self.settings.origin_kind for kind in self.kinds.values())
        avoided = len(self._router.avoided(self.now()))
        return self.counters.lines(self.open_request_count, nodes, avoided)

    # Clients

    def request_arrived(self, command: Command, reply: ReplySlot) -> None:
        """Accept or reject a request; in both cases it gets exactly one final answer."""
        request_id = command.id.decode("ascii")
        fields = command.fields
        if fields["c"] not in self.classes:
            reply.send(b"-ERR unknown class\r\n")
        elif self.is_known(request_id) or self._abandoned.contains(request_id, self.now()):
            # Warning: two requests with the same id would share attempts, and one would get the other's
            # answer.
            reply.send(b"-ERR duplicate id\r\n")
            self.record_rejection(command, failed="duplicate id")
        elif self.free_capacity <= 0:
            reply.send(REFUSED)
            self.record_rejection(command, refused="open requests")
        else:
            now = self.now()
            deadline = now - reply.unread_ns + command.timeout_ms * NS_PER_MS
            if self.ledger is not None:
                tenant = fields.get("t")
                self.ledger.open_request(request_id, fields["c"], tenant, now, deadline, command.size, PATH)
            self.open(OpenRequest(request_id, command, reply, deadline))
            return
        reply.free_command()

    def open(self, request: OpenRequest) -> None:
        """Give the decision module a request that is already accounted for."""
        request.reply.request = request
        request_id, command = request.id, request.command
        self._requests[request_id] = request
        fields = command.fields
        if self.on_unrepeatable_write is not None and fields["c"] in self._not_repeatable:
            self.on_unrepeatable_write(request_id)
        tenant, key, write = fields.get("t"), command.key.decode(), command.value is not None
        retry = fields.get("r") == "1"
        self.handle_event(
            RequestArrived(request_id, fields["c"], request.deadline, tenant, key, write, retry)
        )

    def unrepeatable_writes(self) -> list[str]:
        """Return the ids of writes that must not be sent again: open ones, and those of clients that left."""
        requests = self._requests.values()
        open_ids = [r.id for r in requests if r.command.fields["c"] in self._not_repeatable]
        return [*open_ids, *self._abandoned.request_ids(self.now())]

    def import_writes(self, request_ids: Iterable[str]) -> None:
        """Refuse requests with these ids for a while: another process may have sent them."""
        now = self.now()
        for request_id in request_ids:
            self._abandoned.record(request_id, now)

    def is_known(self, request_id: str) -> bool:
        """Whether this is the id of a request without a final answer, or with attempts in flight."""
        return request_id in self._requests or (
            self.multi_gets is not None and self.multi_gets.owns(request_id)
        )

    def knows_key_of(self, name: str) -> bool:
        """Whether an open request has an id that a key of a multi-get of this name could have."""
        prefix = f"{name}."
        return any(
            request_id.startswith(prefix) and request_id[len(prefix) :].isdigit()
            for request_id in self._requests
        )

    def request(self, request_id: str) -> OpenRequest | None:
        """Return the open request of this id, if there is one."""
        request = self._requests.get(request_id)
        return (
            request
            if request is not None or self.multi_gets is None
            else self.multi_gets.open_request(request_id)
        )

    def add_request(self, request: OpenRequest) -> None:
        """Add the request of a multi-get's key, which the decision module has received already."""
        request.reply.request = request
        self._requests[request.id] = request

    @property
    def free_capacity(self) -> int:
        """How many further requests may be opened now."""
        unopened_keys = self.multi_gets.unopened if self.multi_gets is not None else 0
        return self._max_open - len(self._requests) - unopened_keys

    def record_rejection(self, command: Command, refused: str = "", failed: str = "") -> None:
        """Account for a request that is rejected before the decision module receives it."""
        log.debug("request %s not accepted: %s", command.id, refused or failed)
        cls = command.fields["c"]
        if cls in self.classes:
            (self.counters.deferred if refused else self.counters.errored)[cls] += 1
        if self.ledger is not None and cls in self.classes:
            tenant = command.fields.get("t")
            self.ledger.record_unopened(cls, tenant, self.now(), command.size, PATH, refused, failed)

    def client_disconnected(self, reply: ReplySlot) -> None:
        """Drop the request of this reply: its client has disconnected."""
        if isinstance(reply.request, OpenRequest):
            self.drop_request(reply.request)
        elif self.multi_gets is not None and reply.request is not None:
            self.multi_gets.client_disconnected(reply.request)

    def drop_request(self, request: OpenRequest, failed: str = "") -> None:
        """Close a request whose client has disconnected, or that has `failed` for this reason."""
        log.debug("request %s dropped: %s", request.id, failed or "its client has disconnected")
        if failed and not request.closed:
            self.counters.errored[request.command.fields["c"]] += 1
        if self.ledger is not None and not request.accounted:
            if failed:
                self.ledger.record_failed(request.id, self.now(), failed)
            else:
                self.ledger.record_disconnected(request.id, self.now())
        if request.was_sent and not request.closed and request.command.fields["c"] in self._not_repeatable:
            self._abandoned.record(request.id, self.now())
        request.closed = request.accounted = True
        if isinstance(request.reply.source, Attempt):
            request.reply.source.client_disconnected()
        request.withdraw()
        self.forget_if_settled(request)
        self.handle_event(ClientDisconnected(request.id))

    def end_unconfirmed(self, request: OpenRequest) -> None:
        """End a request whose client may have disconnected, before a further attempt begins.

        It is refused if that would be its first attempt; else one may have run, and it fails.
        """
        if request.attempts <= 1:
            self._answer(request.id, REFUSED, refused="unread commands")
        else:
            self._answer(request.id, FAILED, failed="unread commands")
        self.handle_event(ClientDisconnected(request.id))

    def end_open(self) -> None:
        """Fail every open request now, with a reply, as the router is about to be killed."""
        if self.multi_gets is not None:
            self.multi_gets.end_all()
        for request in list(self._requests.values()):
            if not request.closed:
                self._answer(request.id, FAILED, failed="router ended")
                self.handle_event(ClientDisconnected(request.id))

    def abandon(self) -> None:
        """Account for every open request as failed and close it, without a reply, as the router stops."""
        if self.ledger is not None:
            for request_id in self.open_requests():
                self.ledger.record_failed(request_id, self.now(), "router ended")
        if self.multi_gets is not None:
            self.multi_gets.abandon()
        for request in self._requests.values():
            request.closed = request.accounted = True

    def forget_if_settled(self, request: OpenRequest) -> None:
        """Forget a request that is closed and has no attempt in flight."""
        if request.closed and not request.attempts_in_flight and request.id in self._requests:
            del self._requests[request.id]
            request.reply.free_command()
            # Warning: the reply and its request refer to each other. Until the garbage collector finds them,
            # the commands of thousands of answered requests would stay in memory.
            request.reply.request = None

    def _answer(self, request_id: str, data: bytes, refused: str = "", failed: str = "") -> None:
        request = self.request(request_id)
        if request is not None and not request.closed:
            request.closed = True
            log.debug(
                "request %s ends after %d attempts: %s", request_id, request.attempts, refused or failed
            )
            (self.counters.deferred if refused else self.counters.errored)[request.command.fields["c"]] += 1
            if self.ledger is not None:
                if refused:
                    self.ledger.record_rejected(request_id, self.now(), refused)
                else:
                    self.ledger.record_failed(request_id, self.now(), failed)
            request.reply.send(data)
            request.withdraw()
            self.forget_if_settled(request)

    # The endpoint list

    def servers_changed(self, listing: EndpointList) -> bool:
        """Apply an endpoint list or a change of it; returns False if the decision module failed to handle it.

        The decision module receives it before the attempts that end because of it.
        """
        self._list_failed = False
        self._events.append(listing.change)
        handling, self._handling = self._handling, True
        try:
            self._list_servers(listing)
        finally:
            self._handling = handling
        self._handle_events()
        return not self._list_failed

    def _list_servers(self, listing: EndpointList) -> None:
        is_complete = listing.change.kind is not ListKind.DELTA
        removed = dict.fromkeys(self._pool.listed()) if is_complete else {}
        superseded: list[str] = []
        for server in listing.change.servers:
            if server.state is ServerState.READY:
                removed.pop(server.id, None)
                is_origin = server.kind == self.settings.origin_kind
                (self._origins.add if is_origin else self._origins.discard)(server.id)
                connect = OriginConnection if is_origin else CacheConnection
                address = listing.addresses[server.id]
                gone = self._pool.list_server(server.id, address, connect, server.started)
                if gone is not None:
                    superseded.append(gone)
                self.kinds[server.id] = server.kind
            else:
                removed[server.id] = None
        for server_id in removed:
            self._pool.unlist_server(server_id)
            self.kinds.pop(server_id, None)
            if self.multi_gets is not None:
                self.multi_gets.server_left(server_id)
        for server_id in superseded:
            log.warning("server %s: another server has its address, nothing is sent to it", server_id)
            self._pool.unlist_server(server_id)

    def discovery_failed(self) -> None:
        """Report to the decision module that a call of discovery failed."""
        self.handle_event(ServersChanged(ListKind.FAILED))

    # Events and actions

    def handle_event(self, event: Event) -> None:
        """Give the decision module an event; events that occur during its actions are queued."""
        self._events.append(event)
        self._handle_events()

    def _handle_events(self) -> None:
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    for action in self._router.handle(event, self.now()):
                        self._carry_out(action)
                except Exception:
                    log.exception(
                        "the decision module failed to handle %s: the requests concerned fail",
                        type(event).__name__,
                    )
                    self._list_failed = self._list_failed or isinstance(event, ServersChanged)
                    self._fail_requests_of(event)
        finally:
            self._handling = False

    def _fail_requests_of(self, event: Event) -> None:
        """Fail the requests of an event whose handling raised an exception, unless attempts are in flight."""
        request_ids: list[str] = []
        if isinstance(event, RequestArrived | AttemptEnded):
            request_ids = [event.request]
        elif isinstance(event, BatchArrived):
            request_ids = event.requests
        for request_id in request_ids:
            request = self.request(request_id)
            if request is not None and not request.attempts_in_flight:
                self._answer(request_id, FAILED, failed="fault")

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send():
                self._send(action)
            case SendBatch():
                assert self.multi_gets is not None
                self.multi_gets.send_batch(action)
            case SetTimer():
                self._set_timer(self.now() + action.delay, action.token)
            case Reject():
                retry_after_ms = (
                    b" %d" % -(-action.retry_after // NS_PER_MS) if action.retry_after > 0 else b""
                )
                self._answer(action.request, b"-BUSY%b\r\n" % retry_after_ms, refused=action.reason.value)
            case Fail():
                request = self.request(action.request)
                is_missing = action.reason is Reason.NOT_FOUND and request is not None
                data = request.reply.null if is_missing and request is not None else FAILED
                self._answer(action.request, data, failed=action.reason.value)
            case Subscribe():
                self.subscribe()
            case HealthCheck():
                to_origin = action.server in self._origins
                self._pool.submit(
                    action.server,
                    HealthCheckExchange(self, action.server, to_origin, self._health_check_timeout),
                )

    def attempt(self, request: OpenRequest, server: str) -> Attempt:
        """Make an attempt at a request on this server."""
        return Attempt(self, request, server, server in self._origins, self.now())

    def _send(self, action: Send) -> None:
        request = self._requests.get(action.request) or self.request(action.request)
        if request is None:
            log.error(
                "the decision module sends request %s to %s, but the request is not open: nothing is sent",
                action.request,
                action.server,
            )
            return
        now = self.now()
        to_origin = action.server in self._origins
        if request.attempts:
            log.debug("request %s: attempt %d at %s", request.id, request.attempts, action.server)
        attempt = Attempt(self, request, action.server, to_origin, now, action.send_before)
        if request.closed or now >= request.deadline or request.attempts > self.settings.max_attempts:
            attempt.end(Outcome.SUPERSEDED)
            return
        if request.is_multi_get_key and self.multi_gets is not None and action.server not in self._origins:
            self.multi_gets.send_single(attempt, action.server, action.timeout)
            return
        due = min(now + action.timeout, request.deadline) if action.timeout else request.deadline
        attempt.wait_until(due)
        self._pool.submit(action.server, attempt)

    def _set_timer(self, due: int, token: str) -> None:
        # Warning: the decision module would ignore an early timer, and the request would never continue.
        self.call_at(due, lambda: self.handle_event(TimerFired(token)))
