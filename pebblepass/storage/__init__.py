"""Durable files: logs of checksummed frames with a versioned header, and atomic replacement of files.

The content of records is opaque here. A disk is an interface, so that fault injection can simulate a power
loss.
"""
