"""Load and fault experiments against real daemons on loopback addresses."""
