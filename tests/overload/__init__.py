"""Clients that hold or flood a router: its memory stays under the limit, and others are served in time."""
