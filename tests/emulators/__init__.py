"""Tests of `pebblepass.emulators`."""
