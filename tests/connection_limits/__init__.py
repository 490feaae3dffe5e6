"""Tests of the room of the same name."""
