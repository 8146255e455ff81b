"""Randomized soak test of the platform's role: real processes, injected faults, guarantees."""
