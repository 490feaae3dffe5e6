"""Broken variants of the router, each of which a soak has to find; a module each, run as the router is."""
