"""Errors of the consensus rules. `texts` has the lines for operators."""

from __future__ import annotations

from enum import Enum, auto


class RejectionReason(Enum):
    """Why a proposal can't become a version."""

    NOT_FORMED = auto()
    """The fleet has not formed yet."""
    NO_STORAGE = auto()
    """A proposed voter keeps no disk; the subject is its name."""
    NEVER_CONNECTED = auto()
    """No message of a proposed voter has arrived yet; the subject is its name."""
    NO_VOTERS = auto()
    """No voter would be left."""
    ALREADY_DECIDED = auto()
    """The change to withdraw is decided; the subject is its id."""
    NO_DIFFERENCE = auto()
    """The proposal equals the decided version."""


class ProposalRejectedError(Exception):
    """A proposal can't become a version because the proposal itself is invalid."""

    def __init__(self, reason: RejectionReason, subject: str = "", version: int = 0) -> None:
        super().__init__(reason, subject, version)
        self.reason, self.subject, self.version = reason, subject, version
