"""Consensus on the policy of a fleet: a quorum of voters decides each version once.

Routers admit requests under a version only while a quorum leases it to them. No two routers ever admit under
two different versions at the same time.

The rules do no I/O and read no clock. `replica` dispatches events to its components; `service` runs a replica
with links, a disk and timers. docs/design/agreement.md states the guarantees and has the state tables.
"""
