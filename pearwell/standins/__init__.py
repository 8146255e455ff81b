"""Stand-ins for the outside systems: platform, fabric and targets."""
