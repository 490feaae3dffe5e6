"""Worker threads for calls that may block, such as those of a disk."""

from __future__ import annotations

import signal
from concurrent.futures import ThreadPoolExecutor


def worker_threads(count: int) -> ThreadPoolExecutor:
    """Return a pool of up to `count` threads, each started with its first task, that receive no signals.

    A signal's handler on a thread other than the main one could run after the interpreter has ended.
    """
    return ThreadPoolExecutor(
        count, initializer=signal.pthread_sigmask, initargs=(signal.SIG_BLOCK, signal.valid_signals())
    )
