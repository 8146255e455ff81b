"""Command lines of the daemons and tools."""
