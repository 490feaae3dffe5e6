"""Fleets of hollow routers on one machine, and the slopes fitted to what they cost."""
