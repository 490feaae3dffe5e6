"""Errors of the handover."""


class HandoverError(Exception):
    """The other process sent invalid data. The text is one line."""
