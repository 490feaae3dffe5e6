"""Keys of one command that are sent together on one connection to a server."""

from __future__ import annotations

from pebblepass.daemon import deadline_propagation
from pebblepass.daemon.client_state import ClientState
from pebblepass.daemon.exchange import Answer, Exchange, ValueSource
from pebblepass.daemon.lag import after_poll
from pebblepass.daemon.multi_get.interfaces import BatchRegistry
from pebblepass.daemon.multi_get.key_attempt import KeyAttempt
from pebblepass.daemon.multi_get.multi_get import MultiGet
from pebblepass.decisions import BatchServed, HedgeDue, Outcome
from pebblepass.multi_get import Batch
from pebblepass.wire.address import Address
from pebblepass.wire.answers import AnswerFormatError
from pebblepass.wire.resp import MULTI_GET_COMMAND, bulk_length, command, read_command

NEVER = 1 << 63
SLOW_RECHECK_NS = 5_000_000  # minimum interval of the checks of a slow batch while other keys are outstanding


class BatchExchange(Exchange):
    """A batch of one command's keys on one connection, sent as one multi-get or as pipelined reads."""

    carries_several = True

    def __init__(self, registry: BatchRegistry[MultiGet, KeyAttempt], batch: Batch[KeyAttempt]) -> None:
        self._registry, self._batch = registry, batch
        multi_get = batch.owner
        assert isinstance(multi_get, MultiGet)
        self._multi_get: MultiGet = multi_get
        multi_get.exchanges[self] = None
        host, now = registry.host, registry.host.now()
        self.begun_at, self.lag_before = now, host.lag.total(now)
        self._unreported: list[str] = []  # answered keys not yet reported to the decision module
        self._latency = 0  # nanoseconds for one key, for that report
        for key in batch.items:
            key.begin(self)
        due = multi_get.deadline
        if batch.attempt_timeout:
            due = min(now + batch.attempt_timeout, due)
        self._timeout_at = due
        hedged = batch.hedge_delay and host.settings.may_hedge
        self._hedge_at = now + batch.hedge_delay if hedged else due
        self._stall_check_at = now + batch.stall_timeout
        self._arm_timer()

    def _arm_timer(self) -> None:
        """Set one timer for the earliest of the three checks: most batches end before any of them."""
        at = min(self._timeout_at, self._hedge_at, self._stall_check_at)
        self._timer = self._registry.host.call_at(at, self._timer_fired)

    def _timer_fired(self) -> None:
        after_poll(self._registry.loop, self._check_timers)

    def _check_timers(self) -> None:
        if self.is_over:
            return
        now = self._registry.host.now()
        if now >= self._timeout_at:
            self._timeout_at = NEVER
            self._timed_out()
        if not self.is_over and now >= self._stall_check_at:
            self._stall_check_at = self._unblock_if_stalled(now)
        if not self.is_over and now >= self._hedge_at:
            self._hedge_at = self._hedge_if_slow(now)
        if not self.is_over and min(self._timeout_at, self._hedge_at, self._stall_check_at) < NEVER:
            self._arm_timer()

    def may_begin(self) -> bool:
        """Return whether the command has time left and its client is connected, with one check for all keys.

        If the client has disconnected, the command is closed.
        """
        if self._registry.host.now() >= deadline_propagation.latest_start(self._multi_get.deadline):
            return False
        state = self._multi_get.reply.client_state()
        if state is ClientState.CONNECTED:
            return True
        if state is ClientState.UNKNOWN:
            self._multi_get.expire()
        else:
            self._registry.client_disconnected(self._multi_get)
        return False

    def request_bytes(self, address: Address) -> bytes:
        """Encode the reads of the keys that still need an answer; drop the others from the batch."""
        batch, now = self._batch, self._registry.host.now()
        batch.last_answer_at = now  # the wait for a connection does not count as a stall of the server
        to_send = []
        for key in batch.items:
            if key.is_wanted:
                to_send.append(key)
            else:
                key.ensure_attempt().end(Outcome.SUPERSEDED)
        batch.items = to_send
        if not to_send:
            self._registry.loop.call_soon(self.give_up, Outcome.SUPERSEDED)
            return b""
        info, keys = self._multi_get.info_to_send(now), self._multi_get.assembly.keys
        if not batch.as_command:
            reads = [read_command(keys[key.number], key.request_id.encode(), info) for key in to_send]
            return b"".join(reads)
        self.array_expected = True
        name = to_send[0].request_id.encode()
        return command(
            MULTI_GET_COMMAND, b"%d" % len(to_send), *[keys[key.number] for key in to_send], name, info
        )

    def array_started(self, count: int) -> None:
        """Check the array's length against the batch; a negative count is an error line for all keys."""
        self.array_expected = False
        if count != len(self._batch.items) and count >= 0:
            # With another length, answers would be attributed to the wrong keys.
            raise AnswerFormatError("answers to another number of keys")
        self._single_error = count < 0

    _single_error = False

    def record_answer(self, outcome: Outcome, answer: Answer) -> bool:
        """Record the next key's answer; return whether the batch expects another."""
        batch = self._batch
        if self._single_error:
            return False
        attempt = batch.items[batch.answered].ensure_attempt()
        attempt.record_latency(self._registry.batches.record_answer(batch, batch.sent_at + attempt.elapsed()))
        if batch.answered + 1 == len(batch.items):
            return False
        batch.answered += 1
        attempt.end(outcome, answer)
        return True

    @property
    def expected_hits(self) -> int:
        """The number of keys, from the next one on, without an attempt, so that hits need only the value."""
        if self._single_error:
            return 0
        batch, count = self._batch, 0
        for key in batch.items[batch.answered :]:
            if key.attempt is not None:
                break
            count += 1
        return count

    def record_hits(self, entries: list[bytes]) -> bool:
        """Record hits for the next keys; return whether the batch is complete."""
        registry, multi_get, batch = self._registry, self._multi_get, self._batch
        first, host, now = batch.answered, registry.host, registry.host.now()
        served = batch.items[first : first + len(entries)]
        loop_lag = host.lag.total(now) - self.lag_before
        batch.answered += len(served) - 1
        self._latency = registry.batches.record_answer(batch, max(now - loop_lag, batch.sent_at + 1))
        batch.answered += 1
        for key in served:
            del multi_get.unopened[key.request_id]
        registry.unopened -= len(served)
        names = [key.request_id for key in served]
        self._unreported += names
        if host.ledger is not None:
            fields = multi_get.command.fields
            for name, entry in zip(names, entries, strict=True):
                host.ledger.record_served(name, now, bulk_length(entry))
                host.ledger.record_attempt(fields["c"], fields.get("t"), Outcome.OK.value, False)
        host.counters.answered[multi_get.command.fields["c"]] += len(names)
        multi_get.assembly.complete_all([key.number for key in served], entries)
        registry.schedule(multi_get)
        return batch.answered == len(batch.items)

    def _report_served(self) -> None:
        served, self._unreported = self._unreported, []
        if served:
            self._registry.host.handle_event(BatchServed(served, self._batch.server, self._latency))

    def value_started(self, length: int, source: ValueSource) -> None:
        """Start streaming the long value of the next key."""
        self._batch.items[self._batch.answered].ensure_attempt().value_started(length, source)

    def value_received(self, data: bytes) -> None:
        """Pass on a part of that value."""
        self._batch.items[self._batch.answered].ensure_attempt().value_received(data)

    def _hedge_if_slow(self, now: int) -> int:
        """Hedge each unanswered key, within the budget, if no other key of the command is outstanding.

        Return the time of the next check.
        """
        registry, batch, assembly = self._registry, self._batch, self._multi_get.assembly
        unanswered = batch.unanswered
        if assembly.pending or assembly.incomplete > len(unanswered):
            return now + max(batch.hedge_delay, SLOW_RECHECK_NS)
        for key in unanswered:
            if key.is_wanted and registry.hedges.spend():
                key.ensure_attempt()
                registry.host.handle_event(HedgeDue(key.request_id))
        return NEVER

    def _unblock_if_stalled(self, now: int) -> int:
        """Time out the keys behind a key that is not answered, so that it does not block them.

        They can then be retried elsewhere, while the batch still waits for the first key. Return the time of
        the next check.
        """
        registry, batch, connection = self._registry, self._batch, self.connection
        if connection is None:
            return now + batch.stall_timeout
        retry_after, behind = registry.batches.check_stall(batch, now)
        if retry_after:
            return now + retry_after
        self._report_served()  # the batch may stay open for a long time
        head = batch.unanswered[0]
        if not head.streaming:  # else its client is slow, not the server
            self._quarantine([head, *behind] if batch.as_command else [head])
        if behind:
            connection.retired = True  # answers after that of the first key no longer belong to a request
        for key in behind:
            attempt = key.ensure_attempt()
            attempt.exclude_from_health(head.streaming)
            attempt.end(Outcome.TIMEOUT)
        if batch.as_command and not batch.answered:
            self.give_up(Outcome.TIMEOUT)  # the blocking key can't be identified
        registry.schedule()
        return NEVER

    def _quarantine(self, keys: list[KeyAttempt]) -> None:
        """Send each of these keys alone from now on, as one of them blocks the others."""
        self._multi_get.quarantined.update(key.number for key in keys)

    def _timed_out(self) -> None:
        # A streamed value may continue; the keys behind it have been timed out already.
        if not self.is_over and not (self._batch.unanswered and self._batch.unanswered[0].streaming):
            self.give_up(Outcome.TIMEOUT)

    def handle_outcome(self, outcome: Outcome, answer: Answer) -> None:
        """End the unanswered keys with the outcome of the batch; `answer` belongs to the first of them."""
        batch = self._batch
        self._timer.cancel()
        self._multi_get.exchanges.pop(self, None)
        unanswered = batch.unanswered
        self._registry.batches.finish(batch)
        self._report_served()
        if unanswered:
            if outcome not in (Outcome.OK, Outcome.MISS, Outcome.CONNECT_FAILED):
                self._quarantine(unanswered if batch.as_command else unanswered[:1])
            head = unanswered[0].ensure_attempt()
            head.connection_failed = self.connection_failed
            head.connection_rejected = self.connection_rejected
            head.end(outcome, answer)
            for key in unanswered[1:]:
                attempt = key.ensure_attempt()
                # One failure counts once in the server's health statistics: for the first key.
                if outcome is not Outcome.CONNECT_FAILED:
                    attempt.exclude_from_health()
                attempt.end(outcome)
        # Warning: the keys refer to this exchange, and by their command to the values of all its keys.
        batch.items = []
        self._registry.schedule()
