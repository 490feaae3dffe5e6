"""The ledger of a router: every request in exactly one account, audited by the router itself.

Off unless the operator's file has the section `[figures]`.
"""

from pebblepass.accounting.ledger import OTHER, Breach, BreachKind, Ledger

__all__ = ["OTHER", "Breach", "BreachKind", "Ledger"]
