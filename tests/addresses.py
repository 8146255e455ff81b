"""Loopback addresses for tests on real sockets."""

import os


def own_address():
    """Returns an address of this process alone, so that test runs side by side don't clash."""
    return f"127.20.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
