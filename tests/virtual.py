"""Runs a test's coroutine in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from pebblepass.simulation.clock import VirtualLoop


def run_virtual(work: Callable[[VirtualLoop], Awaitable[Any]]) -> Any:
    """Run `work` on a new virtual event loop, and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, VirtualLoop)

        async def main() -> Any:
            return await work(loop)

        return runner.run(main())
