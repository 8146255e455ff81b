"""The platform's settings, packets, store and probes, translated into the product's types."""
