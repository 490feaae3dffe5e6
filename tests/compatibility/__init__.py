"""Tests that formats on the wire and on disk, and externally visible names, equal frozen copies."""
