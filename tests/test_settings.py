"""Tests for settings, overlays and planned changes."""

import json
import pathlib
import re

import pytest

from quetzalswitch import configuration
from quetzalswitch import exceptions
from quetzalswitch import policy as policies
from quetzalswitch import schema
from quetzalswitch import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
SECRET = "an-operator-key-for-tests"
PARTIES = ("callers", "operators", "peers", "platform")
PROCESS = {f"{party}_address": "127.0.0.1:0" for party in PARTIES}
PROCESS.update(entry_id="e1", failure_domain="d1", region="r1")
PROCESS.update(operator_key=SECRET)
CLUSTER = {
    "teams": [
        {"name": "dams", "share": 2, "max_running": 5},
        {"name": "water", "share": 1, "max_running": 5},
    ],
    "keys": [{"name": "dams-1", "team": "dams", "digest": "a" * 64}],
    "queues": [{"name": "q", "team": "dams"}],
}


@pytest.fixture
def load(tmp_path):
    """Loads a base file with the given overlays."""

    def _load(*overlays):
        base = {"process": PROCESS, "cluster": CLUSTER}
        files = []
        for number, content in enumerate((base, *overlays)):
            file = tmp_path / f"{number}.json"
            is_text = isinstance(content, str)
            file.write_text(content if is_text else json.dumps(content))
            files.append(file)
        return settings.load(files)

    return _load


@pytest.mark.parametrize("site", ["moorwater", "ergastiri"])
def test_example_settings_are_complete(site):
    """Guards against examples that a newcomer can't start with."""
    names = ("site.json", "secret.json", "entry-1.json")
    files = [EXAMPLES / "base.json", *(EXAMPLES / site / n for n in names)]
    loaded = settings.load(files)
    assert len(loaded.cluster.teams) == 6
    assert loaded.process.times.drain_delay_s == 6


def test_lists_of_named_objects_merge_by_name(load):
    """Guards against an overlay that drops teams it does not mention."""
    overlay = {"cluster": {"teams": [{"name": "water", "share": 3}]}}
    teams = load(overlay).cluster.teams
    assert teams["water"] == schema.Team(share=3, max_running=5)
    assert teams["dams"] == schema.Team(share=2, max_running=5)


def test_null_removes_and_plain_lists_are_replaced(load):
    """Guards against removals that keep the value of the base file."""
    first = {
        "process": {"log_json": True},
        "cluster": {"domains_out": ["a", "b"]},
    }
    second = {
        "process": {"log_json": None},
        "cluster": {"teams": {"water": None}, "domains_out": ["c"]},
    }
    loaded = load(first, second)
    assert loaded.cluster.domains_out == ("c",)
    assert loaded.process.log_json is False
    assert list(loaded.cluster.teams) == ["dams"]


def nest(path, value):
    """Returns an overlay that sets one value."""
    for key in reversed(path.split(".")):
        value = {key: value}
    return value


@pytest.mark.parametrize(
    ("overlay", "expected"),
    [
        (nest("process.times.sync_wait_s", -1), ["> 0.0", "found -1"]),
        (nest("process.times.sync_wait_s", -1), ["times.sync_wait_s: "]),
        (nest("cluster.teams.water.share", "x"), ["`float`", "`str`"]),
        (nest("cluster.teams.water.share", "x"), ["teams.water.share: "]),
        (nest("process.tims", 1), ["process.tims: ", "unknown"]),
        (nest("process.log_level", None), ["log_level", "none"]),
        (nest("process.callers_address", "no"), ["host:port", "'no'"]),
        (nest("process.callers_address", "no"), ["process.callers_address: "]),
        (nest("process.policy.hold_max_s", 1), ["than hold_max_s (1)"]),
        (nest("process.times.target_timeout_s", 2), ["below 4, found 5"]),
        (nest("cluster.queues.q.team", "no"), ["unknown team no"]),
        (nest("cluster.queues.p", {}), ["queues.p", "open_to_all"]),
        (nest("cluster.teams", [{"share": 1}]), ["teams[0]", "a name"]),
        (nest("cluster.teams", [{"name": "x"}] * 2), ["teams[1]", "unique"]),
        ('{"process": {"region": "a", "region": "b"}}', ["twice"]),
        ('{"process": ', []),
        ('{"process": {"times": {"drain_delay_s": NaN}}}', ["NaN"]),
        ("[]", ["expected an object, found list"]),
    ],
)
def test_error_names_file_path_expected_and_found(load, overlay, expected):
    """Guards against errors that leave the operator searching."""
    with pytest.raises(exceptions.SettingsError) as error:
        load(overlay)
    for part in ["1.json: ", *expected]:
        assert part in str(error.value)


@pytest.mark.parametrize("bad_key", [76543210, "short-key"])
def test_secrets_are_never_shown(load, bad_key):
    """Guards against an operator key in output, errors or logs."""
    loaded = load()
    other = load({"process": {"operator_key": SECRET[::-1]}})
    shown = f"{settings.show(loaded)} {settings.diff(loaded, other)}"
    shown += repr(loaded) + str(loaded.process)
    with pytest.raises(exceptions.SettingsError) as error:
        load({"process": {"operator_key": bad_key}})
    assert SECRET not in shown
    assert SECRET[::-1] not in shown
    assert str(bad_key) not in str(error.value)
    with pytest.raises(exceptions.SettingsError) as error:
        load({"cluster": {"keys": {"dams-1": {"digest": "pasted-key"}}}})
    assert "pasted-key" not in str(error.value)


def test_show_names_the_origin_of_each_value(load):
    """Guards against an operator who edits the wrong file."""
    overlay = {"process": {"times": {"drain_delay_s": 9}}}
    lines = {line.path: line for line in settings.show(load(overlay))}
    assert lines["process.times.drain_delay_s"].origin.endswith("1.json")
    assert lines["process.region"].origin.endswith("0.json")
    assert lines["process.times.sync_wait_s"].origin == "default"


def test_diff_lists_changed_added_and_removed(load):
    """Guards against differences that a review does not see."""
    overlay = {
        "process": {"times": {"drain_delay_s": 9}},
        "cluster": {"teams": {"water": None}, "domains_out": ["d2"]},
    }
    paths = {
        d.path: (d.old, d.new) for d in settings.diff(load(), load(overlay))
    }
    assert paths == {
        "process.times.drain_delay_s": ("5.0", "9.0"),
        "cluster.teams.water.share": ("1.0", None),
        "cluster.teams.water.max_running": ("5", None),
        "cluster.domains_out": (None, '["d2"]'),
    }


def test_planned_changes_reach_the_desired_configuration(load):
    """Guards against an order of changes that the configuration refuses."""
    before = load().cluster
    current = configuration.Configuration()
    plan = settings.plan_changes(before, current)
    current = configuration.apply(current, plan)
    assert not settings.plan_changes(before, current).changes
    overlay = {
        "cluster": {
            "teams": {"dams": None, "new": {"share": 1, "max_running": 1}},
            # The same digest under another name, for another team.
            "keys": {
                "dams-1": None,
                "new-1": {"team": "new", "digest": "a" * 64},
            },
            "queues": {"q": {"team": "new", "priority": 3}},
            "domains_out": ["d2"],
        }
    }
    after = load(overlay).cluster
    plan = settings.plan_changes(after, current)
    current = configuration.apply(current, plan)
    assert not settings.plan_changes(after, current).changes
    assert set(current.teams) == {"new", "water"}
    assert set(current.keys) == {"new-1"}
    assert current.domains_out == {"d2"}


def test_absent_section_is_not_managed():
    """Guards against a submit that returns a failed domain to service."""
    current = configuration.apply(
        configuration.Configuration(), configuration.TakeOutDomain("d1")
    )
    plan = settings.plan_changes(schema.Cluster(), current)
    assert not plan.changes
    plan = settings.plan_changes(schema.Cluster(domains_out=()), current)
    assert plan.changes == (configuration.ReturnDomain("d1"),)


def test_policy_settings_are_those_of_the_policy():
    """Guards against a setting that the policy refuses or defaults apart."""
    values = schema.policy_values(schema.Policy())
    assert values.keys() == policies.SITE_FIELDS
    assert policies.make_policy(values) == policies.Policy()


def test_every_setting_of_a_process_is_read():
    """Guards against a setting that an operator changes without effect."""
    sources = "".join(
        file.read_text()
        for file in (EXAMPLES.parent / "src").rglob("*.py")
        if file.name not in ("schema.py", "settings.py")
    )
    for item in settings.describe():
        section, _, name = item.path.rpartition(".")
        if section in ("process.policy", "cluster"):
            continue
        if section.startswith("process"):
            assert re.search(rf"\.{name}\b", sources), item.path
