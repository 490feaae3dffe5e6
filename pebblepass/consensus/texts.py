"""Lines for operators about proposals."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from pebblepass.consensus.errors import ProposalRejectedError, RejectionReason


def rejection(error: ProposalRejectedError) -> str:
    """Return the line that says why a proposal can't become a version."""
    match error.reason:
        case RejectionReason.NOT_FORMED:
            return "the fleet has not formed yet: it forms once all of its voters are up"
        case RejectionReason.NO_STORAGE:
            return f"{error.subject} can't be a voter: it keeps no disk"
        case RejectionReason.NEVER_CONNECTED:
            return f"{error.subject} can't be a voter: no message from it has arrived"
        case RejectionReason.NO_VOTERS:
            return "no voter would be left"
        case RejectionReason.ALREADY_DECIDED:
            return f"{error.subject} is already decided, as version {error.version}"
        case RejectionReason.NO_DIFFERENCE:
            return "nothing would change"


def too_few_voters(missing: Sequence[str], needed: int, voters: int) -> str:
    """Return the line that says which voters are missing for a quorum."""
    return f"{', '.join(missing)} can't be reached; {needed} of {voters} voters are needed"


def no_live_voter(voters: Iterable[str]) -> str:
    """Return the line that says that no voter is alive."""
    return f"no voter can be reached: {', '.join(sorted(voters))}"


def missing_router(age_ns: int, is_alive: bool) -> str:
    """Return why a router has no lease on the decided version; `age_ns`: of its heartbeat, below 0: none."""
    if is_alive:
        return "alive, but has no lease on this version yet"
    last = "no heartbeat yet" if age_ns < 0 else f"no heartbeat for {age_ns / 1e9:.1f} s"
    return f"{last}: it admits under no older version, and adopts this one before it is ready"


def still_open(missing: Sequence[str], needed: int) -> str:
    """Return the line that says that a change is open, and which voters it waits for."""
    return f"open: no answer from {', '.join(missing)}; the change ends once {needed} voters are back"


def version_missed(version: int) -> str:
    """Return the line that says that a change's version was decided while this router received nothing."""
    return f"open: this router missed the decision on version {version}; see the history"


def overtaken(version: int, change_id: str | None, author: str | None) -> str:
    """Return the line that says that another change was decided; `author`: None if it is not known."""
    by = f" by {author}" if author is not None else ""
    return f"overtaken by version {version} (change {change_id or 'not known'}{by})"
