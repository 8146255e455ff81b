"""Targets: their health, load and weights, and which new flows they are given."""
