"""Loopback addresses for tests on real sockets."""

import os

BASE_SECOND_OCTET = 20


def loopback_address(number=0):
    """Returns a loopback address derived from the process ID, so that test runs don't clash."""
    return f"127.{BASE_SECOND_OCTET + number}.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
