"""pebblepass: a router between package clients and cache servers with one slow origin."""

__version__ = "0.2.0"
