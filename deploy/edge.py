"""Starts the platform's role. It is a script because running a module takes 5 ms longer."""

# The module signal takes 9 ms to import, in which a signal would end the process.
import _signal

_SIGNALS = _signal.SIGHUP, _signal.SIGINT, _signal.SIGTERM
_signal.pthread_sigmask(_signal.SIG_BLOCK, _SIGNALS)

import os  # noqa: E402
import sys  # noqa: E402

sys.path[0] = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

from pearwell.platform.edge import main  # noqa: E402

try:
    main()
finally:
    # The interpreter removes all handlers before it exits.
    _signal.pthread_sigmask(_signal.SIG_BLOCK, _SIGNALS)
