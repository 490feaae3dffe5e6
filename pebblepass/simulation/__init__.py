"""Rehearsals: a scenario played against the real daemon code, counted and checked by the kit itself."""
