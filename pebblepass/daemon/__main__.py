"""Starts the router as the deploy file says, and ends it in good order on SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import resource
import signal
import sys
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING

from msgspec.structs import replace

from pebblepass.connection_limits import descriptors
from pebblepass.daemon.config import Config, ConfigError, load_config
from pebblepass.daemon.daemon import Daemon
from pebblepass.daemon.log import Limit, make_logger
from pebblepass.daemon.loop import DaemonLoop

if TYPE_CHECKING:
    from pebblepass.accounting.service import AccountingService
    from pebblepass.operator_config import AccountingSection, FleetSection, MultiGetSection

daemon_class = Daemon  # a trial of a broken program puts another here
OPERATOR_VARIABLE = "PEBBLEPASS_OPERATOR"
GC_THRESHOLD = 20_000  # young objects; requests leave hardly any cycles, and each pass stalls all of them

log = logging.getLogger("pebblepass")


class OperatorFile:
    """The operator's file, where there is one, and what of it concerns the process: its log."""

    def __init__(self, environ: Mapping[str, str], limit: Limit) -> None:
        self._path, self._limit = environ.get(OPERATOR_VARIABLE), limit
        self.figures: AccountingSection | None = None
        """What the ledger is told; read at the start only."""
        self.many_keys: MultiGetSection | None = None
        """Whether many keys are read at once, and within which bounds; read at the start only."""
        self.fleet: FleetSection | None = None
        """The fleet that this router belongs to; read at the start only."""

    def apply(self) -> None:
        """Read the file and take it over, whole or not at all; raises ValueError in one plain line."""
        if not self._path:
            return
        # Loaded only where there is such a file: the schema's library costs memory.
        from pebblepass.operator_config import FileError, load_operator

        try:
            operator = load_operator(self._path)
        except FileError as error:
            raise ValueError(str(error)) from None
        log.setLevel(operator.log.level.upper())
        self._limit.lines_a_second = operator.log.lines_per_second
        self.figures, self.many_keys, self.fleet = operator.figures, operator.many_keys, operator.fleet

    def reload(self) -> None:
        """Read the file again; one that can't be used changes nothing."""
        try:
            self.apply()
        except ValueError as error:
            log.error("the operator's file stays as it was: %s", error)


def within_limit(config: Config) -> Config:
    """The configuration with no more descriptors than the process may have."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= config.sockets:
        return config
    # Danger: dealt out beyond it, clients that stay take those of the dials and of discovery.
    log.warning("limits.sockets is %d, and the process may have %d descriptors", config.sockets, soft)
    return replace(config, sockets=soft)


def beside(operator: OperatorFile, name: str) -> int:
    """Descriptors that the operator's sections take."""
    taken, ledger, section = 0, operator.figures, operator.fleet
    if ledger is not None:
        from pebblepass.accounting.listener import MAX_CONNECTIONS

        listens = MAX_CONNECTIONS if ledger.listen else 0
        taken += descriptors.accounting_descriptors(listens, bool(ledger.directory), bool(ledger.webhook))
    if section is not None:
        from pebblepass.peers.links import MAX_UNIDENTIFIED

        coming = len(section.members) - 1 if name in section.voters else 0
        taken += descriptors.fleet_descriptors(
            len(section.voters), coming, MAX_UNIDENTIFIED, bool(section.directory)
        )
    return taken


def open_figures(
    loop: asyncio.AbstractEventLoop, config: Config, section: AccountingSection
) -> AccountingService:
    """Open the ledger; raises ValueError in one plain line where it can't be opened."""
    from pebblepass.accounting.service import AccountingService

    epoch = os.urandom(8).hex()
    return AccountingService(loop, section, config.name, config.settings, time.time_ns, epoch)


async def serve(
    config: Config, operator: OperatorFile, figures: AccountingService | None, early: list[int]
) -> None:
    """Run until SIGTERM, and then until `Daemon.drain` ends: all is answered, or its time limit has passed.

    `early` notes a SIGHUP that has come since the files were read.
    """
    loop = asyncio.get_running_loop()
    # Danger: a fault in one callback, printed each time it comes, would take the CPU of the others.
    loop.set_exception_handler(
        lambda _, context: log.error("%s", context["message"], exc_info=context.get("exception"))
    )
    taken = beside(operator, config.name)
    daemon = daemon_class(loop, config, startup_cpu_s=time.process_time(), beside=taken)
    if operator.many_keys is not None:
        daemon.enable_multi_get(operator.many_keys)
    if operator.fleet is not None:
        daemon.join_fleet(operator.fleet)
    terminated = asyncio.Event()

    def reload() -> None:
        daemon.reload(os.environ)
        operator.reload()

    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    # Danger: where nobody takes SIGHUP, it ends the process.
    loop.add_signal_handler(signal.SIGHUP, reload)
    if figures is not None:
        daemon.host.ledger = figures.ledger
        loop.add_signal_handler(signal.SIGUSR1, lambda: log.info("%s", figures.summary_line()))
        await figures.start(daemon.host.now, daemon.host.open_requests)
    await daemon.start()
    if early:
        reload()
    await terminated.wait()
    await daemon.drain()
    daemon.stop()
    if figures is not None:
        figures.stop(closing=True)
    await asyncio.sleep(0)


def main() -> int:
    """Run the router; what can't be used is one plain line and exit code 2."""
    # Danger: a SIGHUP that nobody takes yet ends the process; one that is lost leaves it with the old file.
    early: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early.append(number))
    with asyncio.Runner(loop_factory=DaemonLoop) as runner:
        try:
            config = load_config(os.environ)
            operator = OperatorFile(os.environ, make_logger(config.name, runner.get_loop().time))
            operator.apply()
            config = within_limit(config)
            figures = None
            if operator.figures is not None:
                figures = open_figures(runner.get_loop(), config, operator.figures)
        except (ConfigError, ValueError) as error:
            print(f"pebblepass: {error}", file=sys.stderr)
            return 2
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        try:
            runner.run(serve(config, operator, figures, early))
        except (OSError, ConfigError) as error:
            print(f"pebblepass: {error}", file=sys.stderr)
            return 2 if isinstance(error, ConfigError) else 1
    # Danger: the interpreter, as it finalizes, resets the signals that it handles to their default, by which
    # another one kills the process; it leaves alone those that are ignored.
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    return 0


if __name__ == "__main__":
    sys.exit(main())
