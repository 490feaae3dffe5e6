"""Starts the router as the deploy file says, and ends it in good order on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Mapping

from pebblepass.daemon.config import Config, ConfigError, load_config
from pebblepass.daemon.daemon import Daemon
from pebblepass.daemon.log import Limit, make_logger
from pebblepass.daemon.loop import DaemonLoop

OPERATOR_VARIABLE = "PEBBLEPASS_OPERATOR"
GC_THRESHOLD = 20_000  # young objects; requests leave hardly any cycles, and each pass stalls all of them

log = logging.getLogger("pebblepass")


class OperatorFile:
    """The operator's file, where there is one, and what of it concerns the process: its log."""

    def __init__(self, environ: Mapping[str, str], limit: Limit) -> None:
        self._path, self._limit = environ.get(OPERATOR_VARIABLE), limit

    def apply(self) -> None:
        """Read the file and take it over, whole or not at all; raises ValueError in one plain line."""
        if not self._path:
            return
        # Loaded only where there is such a file: the schema's library costs memory.
        from pebblepass.operator import FileError, load_operator

        try:
            section = load_operator(self._path).log
        except FileError as error:
            raise ValueError(str(error)) from None
        log.setLevel(section.level.upper())
        self._limit.lines_a_second = section.lines_per_second

    def reload(self) -> None:
        """Read the file again; one that can't be used changes nothing."""
        try:
            self.apply()
        except ValueError as error:
            log.error("the operator's file stays as it was: %s", error)


async def serve(config: Config, operator: OperatorFile) -> None:
    """Run until SIGTERM, and then until all that was taken is answered."""
    loop = asyncio.get_running_loop()
    # Danger: a fault in one callback, printed each time it comes, would take the CPU of the others.
    loop.set_exception_handler(
        lambda _, context: log.error("%s", context["message"], exc_info=context.get("exception"))
    )
    daemon = Daemon(loop, config)
    terminated = asyncio.Event()

    def reload() -> None:
        daemon.reload(os.environ)
        operator.reload()

    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    # Danger: where nobody takes SIGHUP, it ends the process.
    loop.add_signal_handler(signal.SIGHUP, reload)
    await daemon.start()
    await terminated.wait()
    await daemon.drain()
    daemon.stop()
    await asyncio.sleep(0)


def main() -> int:
    """Run the router; what can't be used is one plain line and exit code 2."""
    with asyncio.Runner(loop_factory=DaemonLoop) as runner:
        try:
            config = load_config(os.environ)
            operator = OperatorFile(os.environ, make_logger(config.name, runner.get_loop().time))
            operator.apply()
        except (ConfigError, ValueError) as error:
            print(f"pebblepass: {error}", file=sys.stderr)
            return 2
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        try:
            runner.run(serve(config, operator))
        except OSError as error:
            print(f"pebblepass: {error}", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
