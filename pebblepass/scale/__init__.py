"""Figures of a large fleet from small ones: hollow routers, slopes, and what they predict."""
