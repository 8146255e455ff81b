"""Placement of hash buckets on targets: planning, storage and agreement within a zone."""
