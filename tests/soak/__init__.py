"""A seeded soak of router processes: faults, signals in series and crowds, checked from both sides' logs."""
