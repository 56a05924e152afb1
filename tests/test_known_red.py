"""Tests of the treatment of KNOWN-RED.txt."""

import pathlib

import pytest

pytest_plugins = ["pytester"]

CONFTEST = pathlib.Path(__file__).parent / "conftest.py"
TESTS = """
def test_red(): assert False
def test_red_too(): assert {other}
"""


@pytest.fixture(name="run")
def _run(pytester):
    def _run_tests(known_red, *, other=True):
        pytester.makeini("[pytest]\ntestpaths = tests\n")
        pytester.makefile(".txt", **{"KNOWN-RED": known_red})
        folder = pytester.mkdir("tests")
        (folder / "conftest.py").write_text(CONFTEST.read_text())
        (folder / "test_a.py").write_text(TESTS.format(other=other))
        return pytester.runpytest_inprocess("-p", "no:cacheprovider")

    return _run_tests


def test_listed_failure_is_reported_apart(run):
    """Guards against a known failure that fails the run or is not shown."""
    result = run("Fix first.\ntests/test_a.py::test_red seed 1, seen 1 of 3\n")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(
        ["*known red*", "*::test_red: still fails", "E * assert False"]
    )


def test_only_the_named_test_is_excused(run):
    """Guards against an entry that also covers tests with a longer name."""
    result = run("tests/test_a.py::test_red\n", other=False)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(failed=1, xfailed=1)


def test_listed_test_that_passes_is_announced(run):
    """Guards against entries that stay in the list after their repair."""
    listed = "tests/test_a.py::test_red\ntests/test_a.py::test_red_too\n"
    result = run(listed)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["*::test_red_too: passes now; remove it*"])


def test_entry_without_a_test_fails_the_run(run):
    """Guards against an entry that excuses a test after its renaming."""
    result = run("tests/test_a.py::test_gone\n")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*names no existing test*test_gone*"])
