"""Tests for rules of the house style that the linter does not check."""

import ast
import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
SOURCES = sorted((ROOT / "src").rglob("*.py"))
FILES = [
    *SOURCES,
    *sorted((ROOT / "tests").rglob("*.py")),
    *sorted((ROOT / "bench").rglob("*.py")),
]
MAX_LINES = 500
# Modules whose names may be imported (Google Python Style Guide 2.2.4).
NAMES_ALLOWED = {"typing", "collections.abc"}
# Cost memory that an entry process should not pay for; with the modules that
# may load them when they are loaded themselves.
PROGRAMS = {"platform", "replay", "target"}
LATE_ONLY = {
    "opentelemetry": {"otlp"},
    "cyclopts": {"console", "command", "files", *PROGRAMS},
    "jsonc": set(),
    "numpy": {"workloads"},
    "psutil": set(),
}


def identify(path):
    """Returns a file's name for the test report."""
    return str(path.relative_to(ROOT))


def is_module(package, name):
    """Tells whether a name in a package is a module."""
    path = ROOT / "src" / package.replace(".", "/") / name
    if package.startswith("quetzalswitch"):
        return path.with_suffix(".py").exists() or path.is_dir()
    try:
        __import__(f"{package}.{name}")
    except ImportError:
        return False
    return f"{package}.{name}" in sys.modules


@pytest.mark.parametrize("path", FILES, ids=identify)
def test_modules_are_imported_and_not_names(path):
    """Guards against names whose module a reader must look up."""
    tree = ast.parse(path.read_text())
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom):
            continue
        assert node.level == 0, f"line {node.lineno}: relative import"
        if node.module in NAMES_ALLOWED:
            continue
        for alias in node.names:
            where = f"line {node.lineno}: {node.module}.{alias.name}"
            assert is_module(node.module, alias.name), where


@pytest.mark.parametrize("path", FILES, ids=identify)
def test_files_are_short(path):
    """Guards against modules that have more than one job."""
    assert len(path.read_text().splitlines()) <= MAX_LINES


@pytest.mark.parametrize("path", SOURCES, ids=identify)
def test_public_parts_have_docstrings(path):
    """Guards against public functions whose units and errors are unknown."""
    tree = ast.parse(path.read_text())
    assert ast.get_docstring(tree)
    bodies = [tree.body]
    while bodies:
        for node in bodies.pop():
            kinds = ast.ClassDef | ast.FunctionDef
            if not isinstance(node, kinds) or node.name.startswith("_"):
                continue
            where = f"line {node.lineno}: {node.name}"
            assert ast.get_docstring(node), where
            if isinstance(node, ast.ClassDef):
                bodies.append(node.body)


@pytest.mark.parametrize("path", SOURCES, ids=identify)
def test_large_libraries_are_imported_late(path):
    """Guards against memory that every entry process would pay for."""
    for node in ast.parse(path.read_text()).body:
        names = [alias.name for alias in getattr(node, "names", [])]
        if isinstance(node, ast.ImportFrom):
            names = [node.module]
        for name in names:
            allowed = LATE_ONLY.get(name.partition(".")[0])
            assert allowed is None or path.stem in allowed, name
