"""Starts the router as the deploy file says, and ends it in good order on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

from pebblepass.daemon.config import Config, ConfigError, load_config
from pebblepass.daemon.daemon import Daemon
from pebblepass.daemon.log import make_logger
from pebblepass.daemon.loop import DaemonLoop

GC_THRESHOLD = 20_000  # young objects; requests leave hardly any cycles, and each pass stalls all of them

log = logging.getLogger("pebblepass")


async def serve(config: Config) -> None:
    """Run until SIGTERM, and then until all that was taken is answered."""
    loop = asyncio.get_running_loop()
    # Danger: a fault in one callback, printed each time it comes, would take the CPU of the others.
    loop.set_exception_handler(
        lambda _, context: log.error("%s", context["message"], exc_info=context.get("exception"))
    )
    daemon = Daemon(loop, config)
    terminated = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    # Danger: where nobody takes SIGHUP, it ends the process.
    loop.add_signal_handler(signal.SIGHUP, daemon.reload, os.environ)
    await daemon.start()
    await terminated.wait()
    await daemon.drain()
    daemon.stop()
    await asyncio.sleep(0)


def main() -> int:
    """Run the router; what can't be used is one plain line and exit code 2."""
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"pebblepass: {error}", file=sys.stderr)
        return 2
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    try:
        with asyncio.Runner(loop_factory=DaemonLoop) as runner:
            make_logger(config.name, runner.get_loop().time)
            runner.run(serve(config))
    except OSError as error:
        print(f"pebblepass: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
