"""Forms on the wire and on disk, and names that others rely on, as frozen bytes and lists."""
