"""The lines that operators read about proposals."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from pebblepass.consensus.errors import ProposalRejectedError, RejectionReason


def rejection(error: ProposalRejectedError) -> str:
    """Return why a proposal can't become a version."""
    match error.reason:
        case RejectionReason.NOT_FORMED:
            return "the fleet has not formed yet: each of its voters has to be up once"
        case RejectionReason.NO_STORAGE:
            return f"{error.subject} can't be a voter: it keeps no disk"
        case RejectionReason.NEVER_CONNECTED:
            return f"{error.subject} can't be a voter: it was never heard"
        case RejectionReason.NO_VOTERS:
            return "no voter would be left"
        case RejectionReason.ALREADY_DECIDED:
            return f"{error.subject} is decided already, as version {error.version}"
        case RejectionReason.NO_DIFFERENCE:
            return "nothing would change"


def too_few_voters(missing: Sequence[str], needed: int, voters: int) -> str:
    """Return that there is no quorum, and who is missing."""
    return f"{', '.join(missing)} can't be reached; {needed} of {voters} voters are needed"


def no_live_voter(voters: Iterable[str]) -> str:
    """Return that no voter is alive."""
    return f"no voter is heard: {', '.join(sorted(voters))}"


def missing_router(age_ns: int, is_alive: bool) -> str:
    """Return why a router holds no lease on the decided version; `age_ns` below 0: no heartbeat yet."""
    if is_alive:
        return "heard, and holds no lease on it yet"
    last = "never heard" if age_ns < 0 else f"not heard for {age_ns / 1e9:.1f} s"
    return f"{last}: it admits under no older version, and takes this one before it is ready"


def still_open(missing: Sequence[str], needed: int) -> str:
    """Return that a change is open, and what it waits for."""
    return f"open: {', '.join(missing)} have not answered; it ends once {needed} voters are back"


def version_missed(version: int) -> str:
    """Return that a change's version was decided while this router received nothing."""
    return f"open: version {version} has gone by unheard; see the history"


def overtaken(version: int, change_id: str | None, author: str | None) -> str:
    """Return that another change was decided; `author` is None where it is not known."""
    by = f" by {author}" if author is not None else ""
    return f"overtaken by version {version} (change {change_id or 'not known'}{by})"
