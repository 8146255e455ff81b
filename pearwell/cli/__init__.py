"""Command-line programs of the daemon and its tools."""

import os

# gRPC reads this at import. Its own log lines would mix with error messages and logfmt lines.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
