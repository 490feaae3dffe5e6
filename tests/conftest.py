"""What holds for all tests: the same cases each time, and the list of those known to fail."""

from __future__ import annotations

from hypothesis import settings

from tests.known_red import pytest_collection_modifyitems as pytest_collection_modifyitems
from tests.known_red import pytest_configure as pytest_configure
from tests.known_red import pytest_terminal_summary as pytest_terminal_summary

# A verdict of a property test that changes by chance tells nobody anything.
settings.register_profile("same", derandomize=True, deadline=None)
settings.load_profile("same")
