"""Routing of a request to a cache server or to the origin, or its rejection."""

from __future__ import annotations

from pebblepass.decisions.attempts import Attempts
from pebblepass.decisions.completion import Completion
from pebblepass.decisions.context import EventContext
from pebblepass.decisions.fetch_queue import FetchQueue
from pebblepass.decisions.health import Node
from pebblepass.decisions.interface import Reason
from pebblepass.decisions.origin_limits import OriginLimits
from pebblepass.decisions.origin_requests import OriginRequests
from pebblepass.decisions.requests import Request
from pebblepass.decisions.selection import ServerSelection
from pebblepass.decisions.slot_table import SlotTable


class Routing:
    """Chooses the next step of a request that has no attempt in flight.

    Inputs: the candidates in order, their health, and the origin's headroom. If a candidate is ruled out by
    its send probability, the next one is considered, but only one, and only while the origin has headroom
    for a miss there; otherwise the request is shed. If no candidate is reachable, it goes to the origin.
    """

    def __init__(
        self,
        selection: ServerSelection,
        attempts: Attempts,
        origin_requests: OriginRequests,
        origin_limits: OriginLimits,
        origins: SlotTable,
        queue: FetchQueue,
        completion: Completion,
        context: EventContext,
    ) -> None:
        self._selection, self._attempts, self._completion = selection, attempts, completion
        self._origin_requests, self._origin_limits = origin_requests, origin_limits
        self._origins, self._queue, self._context = origins, queue, context

    def route(self, request: Request) -> None:
        """Send the request to a cache server or to the origin, or give it up."""
        attempts, selection = self._attempts, self._selection
        if not attempts.may_attempt(request):
            self._completion.give_up(request, attempts.exhaustion_reason(request))
            return
        if request.excluded and attempts.is_last(request) and self._origins.nodes:
            # A miss elsewhere would leave no attempt for the origin.
            self._origin_requests.fetch_or_wait(request)
            return
        has_declined = False
        for node in selection.candidates(request):
            if not selection.may_connect(request, node):
                continue
            if selection.accepts(request, node):
                self._send_in_time(request, node)
                return
            if not node.is_unreachable:
                is_second, has_declined = has_declined, True
                if is_second or not self._origin_limits.has_headroom(request, len(self._queue)):
                    break
        if has_declined:
            self._completion.give_up(request, Reason.SHED)
        else:
            self._origin_requests.fetch_or_wait(request)

    def _send_in_time(self, request: Request, node: Node) -> None:
        if self._selection.unlikely_in_time(request, node):
            self._completion.give_up(request, Reason.DEADLINE)
        else:
            self._attempts.send(request, node)
