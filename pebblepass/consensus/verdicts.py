"""The outcomes of proposals, and whom they are sent to. No I/O, no clock.

| state of a proposal | event | guard | next |
| --- | --- | --- | --- |
| made here | forward | this router has no vote | forwarded, until a deadline |
| forwarded | answered | - | concluded here |
| forwarded | clock | the deadline | concluded here as open |
| made here | conclude | - | concluded here |
| received from another router | conclude | - | concluded there |
| concluded, not open | proposed again | - | concluded as before |
"""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import ProposalConcluded
from pebblepass.consensus.outbox import Outbox

REMEMBERED_VERDICTS = 64


class Verdicts:
    """The verdicts on proposals that came through this router."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._final: dict[str, m.Verdict] = {}
        self._origins: dict[str, str] = {}  # change: the router that forwarded it here
        self._forwarded_until: dict[str, int] = {}  # change: until when the voter may answer

    def final(self, change_id: str) -> m.Verdict | None:
        """Return the verdict on an earlier proposal; None: it is not known, or open."""
        return self._final.get(change_id)

    def received_from(self, change_id: str, router: str) -> None:
        """A router has forwarded a proposal here."""
        self._origins[change_id] = router

    def is_received(self, change_id: str) -> bool:
        """Whether another router has forwarded the proposal here."""
        return change_id in self._origins

    def forward(self, proposal: m.Proposal, voter: str, until: int) -> None:
        """Forward a proposal to a voter, which has to answer by `until`."""
        self._forwarded_until[proposal.change_id] = until
        self._outbox.send(voter, m.ForwardedProposal(proposal))

    def answered(self, verdict: m.Verdict) -> None:
        """The voter has answered a forwarded proposal."""
        if self._forwarded_until.pop(verdict.change_id, None) is not None:
            self._outbox.emit(ProposalConcluded(verdict))

    def expire(self) -> None:
        """Conclude the forwarded proposals that were not answered in time."""
        for change_id, until in list(self._forwarded_until.items()):
            if self._outbox.now >= until:
                del self._forwarded_until[change_id]
                line = "open: the voter that it was passed on to has not answered; ask for its status"
                self.conclude(m.Verdict(change_id, "open", 0, (line,)))

    def refuse(self, change_id: str, reason: str, version: int = 0) -> None:
        """Conclude a proposal as refused."""
        self.conclude(m.Verdict(change_id, "refused", version, (f"refused: {reason}",)))

    def conclude(self, verdict: m.Verdict) -> None:
        """Send a verdict to whoever proposed the change."""
        if verdict.state != "open":
            if len(self._final) > REMEMBERED_VERDICTS:
                del self._final[next(iter(self._final))]
            self._final[verdict.change_id] = verdict
        origin = self._origins.pop(verdict.change_id, None)
        if origin is not None:
            self._outbox.send(origin, m.ForwardedVerdict(verdict))
        else:
            self._outbox.emit(ProposalConcluded(verdict))
