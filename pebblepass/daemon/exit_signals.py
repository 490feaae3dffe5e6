"""Which threads receive signals, and what signals do as the process ends.

The interpreter's signal handler is a C function that uses the interpreter's state. It runs on whichever
thread the kernel chooses among those that do not block the signal. If a worker thread were delayed in it, the
main thread could end the interpreter meanwhile, and the handler would access freed state. So only the main
thread receives signals.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterator
from contextlib import contextmanager

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)


@contextmanager
def _all_signals_blocked() -> Iterator[None]:
    previous = signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, previous)


async def start_worker_threads(loop: asyncio.AbstractEventLoop) -> None:
    """Start the worker threads of the event loop, with all signals blocked in them.

    Threads inherit the blocked signals of the one that creates them. The loop would create its workers at the
    first lookup of a name, which listening at an address is too.
    """
    with _all_signals_blocked():
        await loop.getaddrinfo("127.0.0.1", 0)


def block_signals() -> None:
    """Block the handled signals in this thread for the rest of the process's life.

    Warning: as the loop closes and the interpreter finalizes, handlers and the loop's wake-up descriptor are
    replaced one by one. A signal in between would meet a handler of a loop that is closed, or the default
    action, which kills the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def ignore_signals() -> None:
    """Ignore the handled signals.

    As it finalizes, the interpreter restores the default action of signals that have a handler.
    """
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
