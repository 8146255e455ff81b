"""Adapters for the platform's settings, packets, store and probes."""
