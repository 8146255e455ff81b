"""Placements of buckets on targets: how they are planned, stored and agreed on."""
