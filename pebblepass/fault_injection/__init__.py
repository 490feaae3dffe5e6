"""Fault injection: simulated and real fleets with faults, and checks of their histories."""
