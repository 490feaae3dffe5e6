"""Tests of `pebblepass.handover`."""
