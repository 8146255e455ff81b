"""Values that the whole program shares: services, groups, instances and placements."""
