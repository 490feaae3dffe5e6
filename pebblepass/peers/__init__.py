"""Communication between the routers of a fleet: a failure detector, and links over TCP."""
