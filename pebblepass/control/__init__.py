"""The control address: readiness and counters over HTTP. The accounting pages use the same HTTP server."""
