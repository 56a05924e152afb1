"""Tests of `quetzalctl check`, the review of a configuration."""

import copy
import json

import hypothesis
import hypothesis.strategies as st
import pytest

from quetzalswitch import console
from quetzalswitch import exceptions
from quetzalswitch.operators import command
from quetzalswitch.platform import configurations

GOOD = {
    "version": 7,
    "routes": [
        {
            "name": "q1",
            "host": "h.example",
            "prefix": "/lohu/",
            "service": "svc",
            "timeout_ms": 3000,
            "target_latency_ms": 1000,
            "priority": 1,
            "max_attempts": 3,
            "stretch": 2.0,
            "advice": {"decide_ms": 1, "period_ms": 1, "valid_ms": 1500},
        },
        {
            "name": "q2",
            "host": "h.example",
            "prefix": "/pule/",
            "service": "svc",
        },
    ],
    "services": [{"name": "svc", "spare": False}],
    "limits": {"max_body_bytes": 262144},
    "tenants": [
        {"name": "t1", "api_keys": ["secret-1"], "weight": 2},
        {"name": "t2", "api_keys": ["secret-2"], "max_count": {"cpu": 4000}},
    ],
}


def change(path, value):
    """Returns the good configuration with another value at a path."""
    plain = copy.deepcopy(GOOD)
    *parents, last = path
    entry = plain
    for name in parents:
        entry = entry[name]
    entry[last] = value
    return plain


@pytest.fixture(name="run")
def _run(tmp_path, capsys):
    """Returns a function that checks configurations."""

    def _check(plain, *options, against=None):
        files = []
        for name, content in (("new", plain), ("old", against)):
            if content is None:
                continue
            path = tmp_path / name
            if not isinstance(content, bytes):
                content = json.dumps(content).encode()
            path.write_bytes(content)
            files += ["--against", str(path)] if files else [str(path)]
        code = console.run(command.app, ["check", *files, *options])
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return _check


def test_good_configuration_has_no_findings(run):
    """Guards against findings that operators learn to ignore."""
    assert run(GOOD) == (0, "version 7 has no findings\n", "")


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"\xff\xfe",
        b"[]",
        b"7",
        b"null",
        b'"text"',
        b"[" * 5000,
        b'{"version": NaN}',
    ],
)
def test_file_that_is_no_configuration_gives_2(run, data):
    """Guards against a check that takes an unreadable file for a good one."""
    code, out, err = run(data)
    assert (code, out) == (2, "")
    assert err.startswith("error: ")
    assert run(GOOD, against=data)[0] == 2


def test_missing_file_and_folder_give_2(tmp_path, capsys):
    """Guards against a traceback for a wrong path."""
    for path in (tmp_path / "missing", tmp_path):
        assert console.run(command.app, ["check", str(path)]) == 2
        assert str(path) in capsys.readouterr().err


def test_oversized_file_gives_2(run, monkeypatch):
    """Guards against a wrong file that fills the memory."""
    monkeypatch.setattr("quetzalswitch.operators.review.FILE_LIMIT_BYTES", 100)
    code, _, err = run(GOOD)
    assert code == 2 and "at most 100 bytes" in err


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (("routes", 1, "host"), 7, "routes[1]: host: expected a string"),
        (("routes", 1), {}, "routes[1]: name is missing"),
        (("routes", 1), [], "routes[1]: expected an object, got list"),
        (("routes",), {}, "routes: expected a list, got dict"),
        (("routes", 0, "stretch"), "2", "routes[0]: stretch: expected a num"),
        (("routes", 0, "priority"), -1, "routes[0]: priority: expected a num"),
        (("routes", 0, "stretch"), 1e300, "routes[0]: stretch: expected a num"),
        (("routes", 0, "timeout_ms"), None, "routes[0]: timeout_ms: expected"),
        (("routes", 1, "name"), "q1", "routes[1]: 'q1' is there twice"),
        (("tenants", 0, "name"), None, "tenants[0]: name: expected a string"),
        (("tenants", 1, "name"), "t1", "tenants[1]: 't1' is there twice"),
        (("tenants", 1, "api_keys"), "k", "tenants[1]: api_keys: expected a"),
        (("tenants", 1, "api_keys"), [1], "tenants[1]: api_keys: expected a"),
        (
            ("tenants", 1, "api_keys"),
            ["secret-1"],
            "tenants[1]: a key of it is also one of 't1'",
        ),
        (("tenants", 1, "max_count"), {"cpu": True}, "tenants[1]: cpu: expect"),
        (("services", 0), 1, "services[0]: expected an object, got int"),
        (("version",), "7", "version: version: expected a number"),
        (("limits",), {"max_body_bytes": []}, "limits: max_body_bytes: expect"),
    ],
)
def test_errors_name_their_place(run, path, value, expected):
    """Guards against an error that an operator has to search for."""
    code, out, _ = run(change(path, value))
    assert code == 1
    assert f"error: {expected}" in out


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (
            ("routes", 1, "prefix"),
            "/lohu/",
            "queue q2: queue q1 has the same host and prefix",
        ),
        (("routes", 1, "prefix"), "pule/", "queue q2: no path begins with"),
        (("routes", 1, "host"), "h:80", "queue q2: the host 'h:80' is comp"),
        (("routes", 1, "service"), "x", "queue q2: service x is not listed"),
        (
            ("services", 0, "spare"),
            True,
            "queue q2: the targets of service svc are off",
        ),
        (("tenants", 0, "api_keys"), [], "team t1: it has no key"),
    ],
)
def test_entries_that_never_match_are_found(run, path, value, expected):
    """Guards against a queue or team that no request reaches."""
    code, out, _ = run(change(path, value))
    assert code == 1
    assert f"never matches: {expected}" in out


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (("routes", 0, "timeout_ms"), 999, "queue q1: the time-out of 999 ms"),
        (("routes", 0, "max_attempts"), 0, "queue q1: no attempt is allowed"),
        (("routes", 0, "stretch"), 0.5, "queue q1: a stretch of 0.5"),
        (
            ("routes", 0, "advice", "valid_ms"),
            0,
            "queue q1: starts need tickets",
        ),
        (
            ("routes", 1, "prefix"),
            "/lohu/ab",
            "queue q1: IDs that begin with ab go to queue q2",
        ),
    ],
)
def test_contradictions_are_found(run, path, value, expected):
    """Guards against settings that can't all be kept."""
    code, out, _ = run(change(path, value))
    assert code == 1
    assert f"contradiction: {expected}" in out


def test_limit_below_the_smallest_step_is_found(run):
    """Guards against a team that may run nothing."""
    assert run(GOOD, "--smallest-step", "4000,256,0")[0] == 0
    code, out, _ = run(GOOD, "--smallest-step", "4001,256,0")
    assert code == 1
    assert "contradiction: team t2: the upper limit of 4000 (cpu)" in out
    assert run(GOOD, "--smallest-step", "4000")[0] == 2


def test_longer_prefix_that_is_no_job_id_is_no_finding(run):
    """Guards against findings for queues below the path of another one."""
    assert run(change(("routes", 1, "prefix"), "/lohu/pule/"))[0] == 0


def test_differences_are_listed_without_keys(run):
    """Guards against changes that nobody meant, and against printed keys."""
    new = change(("routes", 0, "stretch"), 3.0)
    new["version"] = 8
    new["tenants"][0]["api_keys"] = ["secret-3"]
    del new["routes"][1]
    code, out, _ = run(new, against=GOOD)
    assert code == 0
    assert "differs: queue q1: stretch: 2.0 -> 3.0" in out
    assert "differs: queue q2: prefix: /pule/ -> None" in out
    assert "differs: version: 7 -> 8" in out
    assert out.count("key with digest") == 2
    assert "secret" not in out
    assert "q1: priority" not in out


def test_version_must_rise(run):
    """Guards against a configuration that entries take for an old one."""
    code, out, _ = run(GOOD, against=GOOD)
    assert code == 1
    assert out == "error: version: 7 is not above 7, which is in force\n"


def test_version_in_force_with_an_error_gives_2(run):
    """Guards against a comparison with half of a configuration."""
    code, _, err = run(GOOD, against=change(("routes", 1), {}))
    assert code == 2 and "routes[1]: name is missing" in err


def test_json_is_one_object(run):
    """Guards against output that machines can't read."""
    new = change(("routes", 0, "max_attempts"), 0)
    code, out, _ = run(new, "--json", against=change(("version",), 6))
    plain = json.loads(out)
    assert code == 1
    assert plain["findings"] == [
        {
            "kind": "contradiction",
            "place": "queue q1",
            "text": "no attempt is allowed",
        }
    ]
    assert [each["place"] for each in plain["differences"]] == [
        "queue q1: max_attempts",
        "version",
    ]


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["name", "cpu", "x"]), inner)
    ),
    max_leaves=8,
)
_PATHS = [
    ("version",),
    ("routes",),
    ("routes", 0),
    *[("routes", 0, name) for name in GOOD["routes"][0]],
    ("services",),
    ("services", 0),
    ("limits",),
    ("tenants",),
    ("tenants", 0),
    *[("tenants", 0, name) for name in ("name", "api_keys", "weight")],
    ("tenants", 1, "max_count"),
]


@hypothesis.given(path=st.sampled_from(_PATHS), value=_JSON)
@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
def test_what_entries_can_not_read_is_an_error(path, value):
    """Guards against a check that passes what entries ignore."""
    data = json.dumps(change(path, value)).encode()
    draft = configurations.inspect(data)
    try:
        configurations.decode(data)
    except exceptions.ConfigurationError:
        assert draft.problems
