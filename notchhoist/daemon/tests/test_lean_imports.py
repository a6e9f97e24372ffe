"""Tests that a start loads no heavy module and leaves no placeholder behind."""

import subprocess
import sys

HEAVY_MODULES = ("platform", "textwrap", "uuid", "decimal", "asyncio")
PROGRAM = """
import sys
from notchhoist.daemon.lean_imports import load_msgspec
load_msgspec()
import notchhoist.daemon.flow_runner, notchhoist.platform.settings
print([name for name in {heavy} if name in sys.modules])
import decimal, textwrap, uuid
print(uuid.UUID(int=7).int, decimal.Decimal("1.5") * 2, textwrap.dedent(" x"))
import msgspec
print(msgspec.json.decode(msgspec.json.encode({{"a": [1, 2.5, "b"]}})))
"""


def run():
    program = PROGRAM.format(heavy=HEAVY_MODULES)
    completed = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stdout.splitlines()


def test_start_loads_no_heavy_module_and_later_imports_are_real():
    heavy, real, decoded = run()
    assert heavy == "[]"
    assert real == "7 3.0 x"
    assert decoded == "{'a': [1, 2.5, 'b']}"
