"""Starts the platform's role. It is a script because running a module takes 5 ms longer."""

import os
import sys

sys.path[0] = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

from pearwell.platform.edge import main  # noqa: E402

main()
