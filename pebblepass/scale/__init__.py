"""Estimates the costs of large fleets by running and fitting small fleets of hollow routers."""
