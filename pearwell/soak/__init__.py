"""Randomized soak of the platform's role: real processes, faults from outside, promises checked."""
