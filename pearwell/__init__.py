"""pearwell: a layer-4 load balancer for long-lived, stateful services."""

__all__ = ["__version__"]

__version__ = "0.1.0"
