"""Guards the boundaries between the parts of the gateway."""

import re
from pathlib import Path

import pytest

GATEWAY = Path(__file__).parents[1] / "src/waxwingbarrow/gateway"
SOURCES = sorted(GATEWAY.rglob("*.py"))
PRIVATE_IMPORT = re.compile(r"waxwingbarrow\.gateway\.(\w+)\._\w+")


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.name)
def test_private_modules_are_imported_in_their_own_part_only(path):
    # A private module that others import cannot be changed without reading them all.
    part = path.parent.name
    used = set(PRIVATE_IMPORT.findall(path.read_text()))
    assert used <= {part}
