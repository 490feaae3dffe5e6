"""Tests of `pebblepass.operator_config`."""
