"""What a server has sent stays in memory after its connection, until the garbage collector runs."""

from __future__ import annotations

import sys

from pebblepass.daemon.origin import OriginConnection
from pebblepass.daemon.process import main


def keep(self: OriginConnection) -> None:
    """Do nothing."""


OriginConnection.release_parser = keep  # type: ignore[assignment, method-assign]
OriginConnection.discard_answer = keep  # type: ignore[method-assign]

if __name__ == "__main__":
    sys.exit(main())
