"""Tests of multi-get commands."""
