"""Multi-get rules: split one command over the servers, and answer it in the order of its keys. No I/O.

The decisions package chooses each key's server and whether to retry. The modules here decide how many keys
of which command are requested next (`fair_allocator`), which keys are sent together (`batches`), whether a
hedged request is within the budget (`hedging`), and what the reply contains (`reply_assembly`).
"""

from pebblepass.multi_get.batch import Batch, BatchBounds, QueuedKey
from pebblepass.multi_get.batches import Batches
from pebblepass.multi_get.command import MultiGetCommand, parse_multi_get
from pebblepass.multi_get.fair_allocator import AllocationBounds, FairAllocator
from pebblepass.multi_get.hedging import HedgeBudget
from pebblepass.multi_get.reply_assembly import KeyState, ReplyAssembly

__all__ = [
    "AllocationBounds",
    "Batch",
    "BatchBounds",
    "Batches",
    "FairAllocator",
    "HedgeBudget",
    "KeyState",
    "MultiGetCommand",
    "QueuedKey",
    "ReplyAssembly",
    "parse_multi_get",
]
