"""Trials: routers that fail together. Schedules on a virtual clock, every order, processes, and checkers."""
