"""The control address: readiness and counters over HTTP. `accounting` uses the same HTTP server."""
