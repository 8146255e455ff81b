"""Developer scripts."""
