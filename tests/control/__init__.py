"""Tests of `pebblepass.control`."""
