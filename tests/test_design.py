"""Tests that the list of modules in the design page is that of the code."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = ROOT / "src/quetzalswitch"


def list_documented():
    """Returns the paths, without suffix, that section 3 lists."""
    text = (ROOT / "docs/design.md").read_text()
    section = text.split("\n## 3. ")[1].split("\n## ")[0].split("\n### ")[0]
    paths = []
    for row in re.findall(r"^\| (`.*) \|$", section, re.MULTILINE):
        names, job = row.split(" | ", 1)
        folder = re.fullmatch(r"`(\w+/)`", names)
        if folder:
            # Names in parentheses explain a module and do not list another.
            modules = re.findall(r"`(\w+)`", re.sub(r"\([^)]*\)", "", job))
            paths += [folder[1] + name for name in modules]
        else:
            paths += re.findall(r"`(\w+)`", names)
    return paths


def test_section_3_lists_exactly_the_modules():
    """Guards against modules without a stated job, and against lost ones."""
    existing = {
        str(path.relative_to(PACKAGE).with_suffix(""))
        for path in PACKAGE.rglob("*.py")
        if path.name != "__init__.py"
    }
    documented = list_documented()
    assert set(documented) == existing
    assert len(documented) == len(existing), "a module is listed twice"
