"""Tests of `pebblepass.discovery`."""
