"""Starting attempts, and the limits on their number and time."""

from __future__ import annotations

from pebblepass.decisions import interface as api
from pebblepass.decisions.context import EventContext
from pebblepass.decisions.health import Node
from pebblepass.decisions.interface import Reason
from pebblepass.decisions.requests import Request
from pebblepass.decisions.timeouts import AttemptTimeouts


class Attempts:
    """Starts attempts while the deadline and the configured number of attempts allow one more."""

    def __init__(self, max_attempts: int, context: EventContext, timeouts: AttemptTimeouts) -> None:
        self._max_attempts, self._context, self._timeouts = max_attempts, context, timeouts

    def may_attempt(self, request: Request) -> bool:
        """Whether the request has an attempt and time left."""
        return request.attempts < self._max_attempts and self._context.now < request.deadline

    def is_last(self, request: Request) -> bool:
        """Whether the next attempt is the last one that the request may have."""
        return request.attempts == self._max_attempts - 1

    def exhaustion_reason(self, request: Request) -> Reason:
        """Return why no further attempt may be made: the time or the number of attempts."""
        return Reason.DEADLINE if self._context.now >= request.deadline else Reason.ATTEMPTS

    def send(self, request: Request, node: Node) -> None:
        """Start an attempt at this server."""
        context = self._context
        request.attempts += 1
        request.node, request.sent_at, request.in_flight = node, context.now, True
        node.attempts_in_flight += 1
        timeout = self._timeouts.timeout(request, node)
        context.actions.append(api.Send(request.id, node.entry.id, timeout, request.resend_deadline()))

    def send_hedge(self, request: Request, node: Node) -> None:
        """Start a hedged second attempt at this server, without a timeout."""
        request.attempts += 1
        request.hedge_node = node
        node.attempts_in_flight += 1
        self._context.actions.append(api.Send(request.id, node.entry.id))
