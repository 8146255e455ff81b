"""Randomized soak test of the platform's role: real processes with injected faults."""
