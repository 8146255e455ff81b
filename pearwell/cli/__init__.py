"""Command lines of the daemons and tools."""

import os

# Read when gRPC is imported: its own log lines would stand among errors and key=value logs.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
