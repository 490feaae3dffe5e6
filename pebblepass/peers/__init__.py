"""Routers that know each other: who is alive, and the links between them."""
