"""Emulators on loopback: cache servers, the origin store, the registry agent and clients."""
