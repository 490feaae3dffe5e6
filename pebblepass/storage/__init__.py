"""The one way to write a file that lasts: framed, checksummed, versioned; logs, whole files, recovery.

Nothing here knows what is written. A disk is an interface, so that a trial can lose power.
"""
