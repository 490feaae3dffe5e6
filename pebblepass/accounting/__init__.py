"""Request accounting: a ledger of every request, which the router audits, exports and saves.

Off unless the operator's file has the section `[figures]`.
"""

from pebblepass.accounting.ledger import OTHER, Breach, BreachKind, Ledger

__all__ = ["OTHER", "Breach", "BreachKind", "Ledger"]
