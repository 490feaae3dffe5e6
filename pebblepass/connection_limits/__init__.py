"""Limits on connections: allocation of descriptors, and eviction of client connections at the limit."""
