"""A change of policy, decided once by a fleet and in force everywhere or nowhere. No I/O, no clock.

docs/design/agreement.md has the claims, with their numbers, and the tables of states.
"""
