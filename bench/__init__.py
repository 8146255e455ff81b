"""Benchmarks; each prints JSON lines."""
