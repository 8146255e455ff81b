"""Tests of pearwell.errors."""

import re
from pathlib import Path

from pearwell.errors import Code

TABLE = Path(__file__).resolve().parent.parent / "docs" / "errors.md"


def test_every_code_is_documented_and_every_documented_code_exists():
    documented = dict(re.findall(r"^\| (\d+) \| `(\w+)` \|", TABLE.read_text(), re.MULTILINE))
    assert documented == {str(int(code)): code.name for code in Code}
