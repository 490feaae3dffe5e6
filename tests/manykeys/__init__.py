"""Reads of many keys."""
