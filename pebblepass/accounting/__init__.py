"""The ledger of a router: where every request went, checked by the router itself.

Off unless the operator's file has a section `[figures]`.
"""

from pebblepass.accounting.ledger import OTHER, Breach, BreachKind, Ledger

__all__ = ["OTHER", "Breach", "BreachKind", "Ledger"]
