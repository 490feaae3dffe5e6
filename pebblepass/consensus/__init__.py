"""Consensus: a change of policy, decided once by a quorum and in force everywhere or nowhere.

The rules do no I/O and read no clock.
`replica` dispatches events to the parts; `service` is the shell with links, disk and timers.
docs/design/agreement.md has the claims, with their numbers, and the tables of states.
"""
