"""Rehearsals: run a scenario against the daemon's code with emulated servers, and check rules and counts."""
