"""Shared data types: services, groups, instances and placements."""
