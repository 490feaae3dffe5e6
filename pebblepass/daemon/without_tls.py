"""Keeps OpenSSL out of the process, which speaks no TLS.

asyncio and uvloop import `ssl` when they are imported. That loads OpenSSL, which takes 5 of the 32 MB that a
router may have at least.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from types import ModuleType
from typing import cast

_ERRORS = (
    "CertificateError",
    "SSLError",
    "SSLSyscallError",
    "SSLWantReadError",
    "SSLWantWriteError",
    "SSLZeroReturnError",
)
_CLASSES = ("MemoryBIO", "SSLContext", "SSLObject", "SSLSocket")
_CONSTANTS = {"SSL_ERROR_WANT_READ": 2, "SSL_ERROR_WANT_WRITE": 3, "SSL_ERROR_SYSCALL": 5}


def _create_default_context(*_: object, **__: object) -> None:
    raise NotImplementedError("this process speaks no TLS")


def _make_placeholder() -> ModuleType:
    """Return a module with the names that asyncio and uvloop read when they are imported."""
    module = ModuleType("ssl", "Placeholder for the standard library's module: this process speaks no TLS.")
    for name in _ERRORS:
        setattr(module, name, type(name, (OSError,), {}))
    for name in _CLASSES:
        setattr(module, name, type(name, (), {}))
    for name, value in _CONSTANTS.items():
        setattr(module, name, value)
    module.create_default_context = _create_default_context  # type: ignore[attr-defined]
    return module


@contextmanager
def openssl_left_out() -> Iterator[None]:
    """Let the modules that are imported in this block find a placeholder in place of OpenSSL.

    A module that is imported later, such as an exporter of metrics, loads the real one.
    """
    replaced = {name: module for name, module in _placeholders().items() if name not in sys.modules}
    sys.modules.update(replaced)
    try:
        yield
    finally:
        for name in replaced:
            del sys.modules[name]


def _placeholders() -> dict[str, ModuleType]:
    # Without _hashlib, hashlib uses the interpreter's own implementations.
    return {"ssl": _make_placeholder(), "_hashlib": cast(ModuleType, None)}
