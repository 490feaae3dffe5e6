"""Upgrade without downtime: a running router hands its state and client connections to its successor."""
