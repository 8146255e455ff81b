"""Target health checking, load balancing weights, draining and flow admission."""
