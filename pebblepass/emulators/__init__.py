"""Scripted peers on loopback: mirror nodes, the package store, the registry and clients."""
