"""Load and experiment tool: drives real daemons on loopback and observes them."""
