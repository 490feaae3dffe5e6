"""Property tests try the same cases each time: a verdict that changes by chance tells nobody anything."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
