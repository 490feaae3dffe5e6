"""Long commands that are received in part never give way when memory is short."""

from __future__ import annotations

import sys

from pebblepass.daemon.partial_commands import PartialCommands
from pebblepass.daemon.process import main


def remove_all(self: PartialCommands, now: float) -> None:
    self._commands.clear()


PartialCommands.shed = remove_all  # type: ignore[method-assign]

if __name__ == "__main__":
    sys.exit(main())
