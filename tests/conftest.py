"""Settings for all tests: deterministic property tests, and the list of known failures."""

from __future__ import annotations

from hypothesis import settings

from tests.known_red import pytest_collection_modifyitems as pytest_collection_modifyitems
from tests.known_red import pytest_configure as pytest_configure
from tests.known_red import pytest_terminal_summary as pytest_terminal_summary

# Random cases would let a property test pass or fail by chance.
settings.register_profile("deterministic", derandomize=True, deadline=None)
settings.load_profile("deterministic")
