"""The verdicts on proposals, and the routers to which they are sent. No I/O, no clock.

| state of a proposal | event | guard | next |
| --- | --- | --- | --- |
| made here | forward | this router can't vote | forwarded, until a deadline |
| forwarded | answer | - | concluded here |
| forwarded | deadline | - | concluded here as open |
| made here | conclude | - | concluded here |
| received from another router | conclude | - | concluded at that router |
| concluded, not open | proposed again | - | concluded with the same verdict |
"""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import ProposalConcluded
from pebblepass.consensus.outbox import Outbox

REMEMBERED_VERDICTS = 64


class Verdicts:
    """The verdicts on proposals that this router handles or forwards."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._final: dict[str, m.Verdict] = {}
        self._origins: dict[str, str] = {}  # by change id: the router that forwarded the proposal here
        self._forwarded_until: dict[str, int] = {}  # by change id: until when the voter may answer

    def final(self, change_id: str) -> m.Verdict | None:
        """Return the final verdict on a proposal; None: there is none, or it is no longer remembered."""
        return self._final.get(change_id)

    def received_from(self, change_id: str, router: str) -> None:
        """Record that a router has forwarded a proposal here."""
        self._origins[change_id] = router

    def is_received(self, change_id: str) -> bool:
        """Whether another router has forwarded the proposal here."""
        return change_id in self._origins

    def forward(self, proposal: m.Proposal, voter: str, until: int) -> None:
        """Forward a proposal to a voter, which has to answer by `until`."""
        self._forwarded_until[proposal.change_id] = until
        self._outbox.send(voter, m.ForwardedProposal(proposal))

    def answered(self, verdict: m.Verdict) -> None:
        """Handle a voter's answer to a forwarded proposal."""
        if self._forwarded_until.pop(verdict.change_id, None) is not None:
            self._outbox.emit(ProposalConcluded(verdict))

    def expire(self) -> None:
        """Conclude forwarded proposals whose deadline has passed as open."""
        for change_id, until in list(self._forwarded_until.items()):
            if self._outbox.now >= until:
                del self._forwarded_until[change_id]
                line = "open: the voter to which it was forwarded has not answered; check the status"
                self.conclude(m.Verdict(change_id, "open", 0, (line,)))

    def refuse(self, change_id: str, reason: str, version: int = 0) -> None:
        """Conclude a proposal as refused."""
        self.conclude(m.Verdict(change_id, "refused", version, (f"refused: {reason}",)))

    def conclude(self, verdict: m.Verdict) -> None:
        """Send a verdict to the router at which the change was proposed."""
        if verdict.state != "open":
            if len(self._final) > REMEMBERED_VERDICTS:
                del self._final[next(iter(self._final))]
            self._final[verdict.change_id] = verdict
        origin = self._origins.pop(verdict.change_id, None)
        if origin is not None:
            self._outbox.send(origin, m.ForwardedVerdict(verdict))
        else:
            self._outbox.emit(ProposalConcluded(verdict))
