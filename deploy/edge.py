"""Starts the platform's role; a script, as running a module imports 5 ms more."""

import os
import sys

sys.path[0] = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

from pearwell.platform.edge import main  # noqa: E402

main()
