"""Reads of many keys: one command, split over the nodes, one answer in the order asked; no I/O, no clock.

The decision module still chooses each key's server, and whether to try again; here it is decided how many
keys of which command are asked now (`shares`), which of them travel together (`parts`), when a second copy is
worth its price (`hedging`), and what goes into the answer (`gathering`).
"""

from pebblepass.multi_get.command import MultiGetCommand, parse_many
from pebblepass.multi_get.gathering import Gathering, State
from pebblepass.multi_get.hedging import HedgeBudget
from pebblepass.multi_get.parts import Batch, BatchBounds, Batches, Queued
from pebblepass.multi_get.shares import ShareBounds, Shares

__all__ = [
    "Batch",
    "BatchBounds",
    "Batches",
    "Gathering",
    "HedgeBudget",
    "MultiGetCommand",
    "Queued",
    "ShareBounds",
    "Shares",
    "State",
    "parse_many",
]
