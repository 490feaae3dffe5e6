"""Files that last: framed, checksummed and versioned logs, atomic replacement of files, recovery.

The content is opaque here. A disk is an interface, so that fault injection can lose power.
"""
