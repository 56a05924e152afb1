"""Tests that docs/promises.md names tests that exist."""

import pathlib
import re

from tests import test_broken_builds

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / "docs/promises.md").read_text()
ROW = re.compile(
    r"^\|.*\| `(test_\w+)` \| `(tests/\w+\.py)(\S*)(.*)` \|$", re.M
)


def test_every_row_names_a_test_that_exists():
    """Guards against a row whose command runs nothing."""
    rows = ROW.findall(PAGE)
    assert len(rows) == len(re.findall(r"^\|(?! ?-).*tests/", PAGE, re.M))
    for name, path, node, option in rows:
        source = (ROOT / path).read_text()
        assert f"\ndef {name}(" in source
        if option:
            scenario = option.removeprefix(" -k ")
            assert scenario in test_broken_builds.SCENARIOS
        else:
            assert node == f"::{name}"


def test_every_promise_has_a_row():
    """Guards against a promise that no test is named for."""
    named = re.findall(r"^\| (P\d+) \|", PAGE, re.M)
    assert named == [f"P{number}" for number in range(1, 12)]
