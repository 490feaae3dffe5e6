"""Errors of the handover."""


class HandoverError(Exception):
    """The other process sent what can't be used; the text is one plain line."""
