"""The router process: reads the configuration, runs the daemon, and drains it on SIGTERM."""

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
from pebblepass.daemon.daemon import OWN_MEMORY_BYTES, Daemon
from pebblepass.daemon.exit_signals import block_signals, ignore_signals, start_worker_threads
from pebblepass.daemon.log import LogRateLimit, make_logger
from pebblepass.daemon.loop import DaemonLoop
from pebblepass.daemon.process_memory import resident_bytes

if TYPE_CHECKING:
    from pebblepass.accounting.service import AccountingService
    from pebblepass.operator_config import AccountingSection, FleetSection, MultiGetSection

daemon_class = Daemon  # replaced by fault injection
OPERATOR_VARIABLE = "PEBBLEPASS_OPERATOR"
GC_THRESHOLD = 20_000  # young objects; requests leave hardly any cycles, and each collection stalls them

log = logging.getLogger("pebblepass")


class OperatorFile:
    """The operator's file, if there is one; applies its log settings and keeps its other sections."""

    def __init__(self, environ: Mapping[str, str], log_rate_limit: LogRateLimit) -> None:
        self._path, self._log_rate_limit = environ.get(OPERATOR_VARIABLE), log_rate_limit
        self.accounting: AccountingSection | None = None
        """The accounting of requests; a reload does not change it."""
        self.multi_get: MultiGetSection | None = None
        """Enables multi-gets and sets their bounds; a reload does not change it."""
        self.fleet: FleetSection | None = None
        """The fleet that this router belongs to; a reload does not change it."""

    def apply(self) -> None:
        """Read the file and apply it; an invalid file changes nothing and raises a ValueError of one line."""
        if not self._path:
            return
        # Imported only if there is such a file: the library of the schema costs memory.
        from pebblepass.operator_config import FileError, load_operator

        try:
            operator = load_operator(self._path)
        except FileError as error:
            raise ValueError(str(error)) from None
        log.setLevel(operator.log.level.upper())
        self._log_rate_limit.lines_per_second = operator.log.lines_per_second
        self.accounting, self.multi_get, self.fleet = operator.figures, operator.many_keys, operator.fleet

    def reload(self) -> None:
        """Read the file again; an invalid file changes nothing."""
        try:
            self.apply()
        except ValueError as error:
            log.error("reloading the operator's file failed, its settings are unchanged: %s", error)


def limit_descriptors(config: Config) -> Config:
    """Return the configuration with `sockets` reduced to the process's limit on descriptors."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= config.sockets:
        return config
    # Warning: if more were allocated, clients that keep their connections would use up those that dials and
    # discovery need.
    log.warning(
        "limits.sockets is %d, but the process may open only %d descriptors: using that", config.sockets, soft
    )
    return replace(config, sockets=soft)


def operator_descriptors(operator: OperatorFile, name: str) -> int:
    """Return the number of descriptors that accounting and the fleet need."""
    count, accounting, fleet = 0, operator.accounting, operator.fleet
    if accounting is not None:
        from pebblepass.accounting.listener import MAX_CONNECTIONS

        listens = MAX_CONNECTIONS if accounting.listen else 0
        count += descriptors.accounting_descriptors(
            listens, bool(accounting.directory), bool(accounting.webhook)
        )
    if fleet is not None:
        from pebblepass.peers.links import MAX_UNIDENTIFIED

        incoming = len(fleet.members) - 1 if name in fleet.voters else 0
        count += descriptors.fleet_descriptors(
            len(fleet.voters), incoming, MAX_UNIDENTIFIED, bool(fleet.directory)
        )
    return count


def open_accounting(
    loop: asyncio.AbstractEventLoop, config: Config, section: AccountingSection
) -> AccountingService:
    """Open the ledger; raises a ValueError of one line if that fails."""
    from pebblepass.accounting.service import AccountingService

    epoch = os.urandom(8).hex()
    return AccountingService(loop, section, config.name, config.settings, time.time_ns, epoch)


async def serve(
    config: Config, operator: OperatorFile, accounting: AccountingService | None, early_sighups: list[int]
) -> None:
    """Run until SIGTERM, and then until `Daemon.drain` ends: all is answered, or its time limit has passed.

    `early_sighups`: not empty if a SIGHUP was received since the files were read.
    """
    loop = asyncio.get_running_loop()
    # Warning: the default handler ignores the log's rate limit: an exception that a callback raises again and
    # again would use up the CPU.
    loop.set_exception_handler(
        lambda _, context: log.error("%s", context["message"], exc_info=context.get("exception"))
    )
    await start_worker_threads(loop)
    reserved = operator_descriptors(operator, config.name)
    daemon = daemon_class(
        loop,
        config,
        startup_cpu_s=time.process_time(),
        reserved_descriptors=reserved,
        own_memory=resident_bytes(OWN_MEMORY_BYTES),
    )
    if operator.multi_get is not None:
        daemon.enable_multi_get(operator.multi_get)
    if operator.fleet is not None:
        daemon.join_fleet(operator.fleet)
    terminated = asyncio.Event()

    def reload() -> None:
        daemon.reload(os.environ)
        operator.reload()

    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    # Warning: without a handler SIGHUP would end the process.
    loop.add_signal_handler(signal.SIGHUP, reload)
    if accounting is not None:
        daemon.host.ledger = accounting.ledger
        daemon.on_overtime = accounting.write_snapshot
        loop.add_signal_handler(signal.SIGUSR1, lambda: log.info("%s", accounting.summary_line()))
        await accounting.start(daemon.host.now, daemon.host.open_requests)
    await daemon.start()
    if early_sighups:
        reload()
    await terminated.wait()
    await daemon.drain()
    daemon.stop()
    if accounting is not None:
        accounting.stop(closing=True)
    await asyncio.sleep(0)
    block_signals()


def main() -> int:
    """Run the router; an invalid configuration is reported in one line, with exit code 2."""
    # Warning: without a handler an early SIGHUP would end the process; ignored, it would leave the old file
    # in force.
    early_sighups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _: early_sighups.append(number))
    with asyncio.Runner(loop_factory=DaemonLoop) as runner:
        try:
            config = load_config(os.environ)
            operator = OperatorFile(os.environ, make_logger(config.name, runner.get_loop().time))
            operator.apply()
            config = limit_descriptors(config)
            accounting = None
            if operator.accounting is not None:
                accounting = open_accounting(runner.get_loop(), config, operator.accounting)
        except (ConfigError, ValueError) as error:
            print(f"pebblepass: {error}", file=sys.stderr)
            return 2
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        try:
            runner.run(serve(config, operator, accounting, early_sighups))
        except (OSError, ConfigError) as error:
            print(f"pebblepass: {error}", file=sys.stderr)
            return 2 if isinstance(error, ConfigError) else 1
    ignore_signals()
    return 0
