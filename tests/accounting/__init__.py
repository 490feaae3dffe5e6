"""Tests of `pebblepass.accounting`."""
