"""The endpoint list: which servers there are, followed at the platform's discovery service."""
