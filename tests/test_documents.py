"""Tests that the documents and the code say the same."""

import dataclasses
import pathlib
import re
import tomllib
import typing

import msgspec
import pytest

from quetzalswitch import configuration
from quetzalswitch import exceptions
from quetzalswitch import messages
from quetzalswitch import metrics
from quetzalswitch import nodemetrics
from quetzalswitch import settings
from quetzalswitch import tracing
from quetzalswitch import web
from quetzalswitch.callers import command as caller_command
from quetzalswitch.callers import protocol as callers
from quetzalswitch.operators import command as operator_command
from quetzalswitch.operators import protocol as operators
from quetzalswitch.peers import protocol as peers
from quetzalswitch.targets import protocol as targets

ROOT = pathlib.Path(__file__).parent.parent
OPERATIONS = (ROOT / "docs/OPERATIONS.md").read_text()
PROTOCOL = (ROOT / "docs/protocol.md").read_text()
EXAMPLE = re.compile(r"<!-- (\S+) -->\n```json\n(.*?)```", re.DOTALL)
EXAMPLES = EXAMPLE.findall(PROTOCOL)
# Bodies that appear inside the examples of others.
NESTED = {"ResourcesBody", "ResultBody", "AttemptReport", "StartBody"}


def read_table(text, *header):
    """Returns the rows of the table with the given header."""
    head = "| " + " | ".join(header) + " |\n"
    assert text.count(head) == 1, f"expected one table {head}"
    rows = text.split(head)[1].split("\n\n")[0].strip().splitlines()[1:]
    return [
        tuple(cell.strip().strip("`") for cell in row.strip("|").split(" | "))
        for row in rows
    ]


def list_commands(app, prefix):
    """Returns the names of all commands below an application."""
    names = set()
    for name in app:
        if name.startswith("-"):
            continue
        below = list_commands(app[name], f"{prefix} {name}")
        names |= below or {f"{prefix} {name}"}
    return names


def check_fields(plain, cls):
    """Checks that the fields of a body are those of its TypedDict."""
    assert set(plain) <= set(cls.__annotations__)
    hints = typing.get_type_hints(cls)
    for name, value in plain.items():
        arguments = typing.get_args(hints[name])
        nested = arguments[0] if isinstance(value, list) else hints[name]
        if typing.is_typeddict(nested):
            for each in value if isinstance(value, list) else [value]:
                check_fields(each, nested)


def test_every_command_is_documented():
    """Guards against commands that operators can't find, or that are gone."""
    rows = read_table(OPERATIONS, "command", "what it does")
    expected = list_commands(caller_command.app, "quetzal")
    expected |= list_commands(operator_command.app, "quetzalctl")
    assert {row[0] for row in rows} == expected
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    programs = {row[0] for row in read_table(OPERATIONS, "program", "role")}
    assert programs == set(project["scripts"])


def test_every_setting_is_documented():
    """Guards against a table of settings with other names or defaults."""
    text = (ROOT / "docs/settings.md").read_text()
    rows = read_table(text, "setting", "type", "default", "meaning")
    assert rows == [tuple(item) for item in settings.describe()]
    assert all(item.text for item in settings.describe())


def test_every_metric_is_documented():
    """Guards against alerts on metrics that do not exist."""
    rows = read_table(OPERATIONS, "metric", "kind", "labels", "meaning")
    assert rows == [
        (d.name, d.kind, ", ".join(d.labels) or "none", d.text)
        for d in metrics.DECLARATIONS
    ]


def test_every_metric_of_the_platform_entry_is_documented():
    """Guards against a metric that on-call engineers can't look up."""
    rows = read_table(OPERATIONS, "node metric", "kind", "labels", "meaning")
    assert rows == [
        (d.name, d.kind, ", ".join(d.labels) or "none", d.text)
        for d in nodemetrics.DECLARATIONS
    ]


def test_every_log_message_is_documented():
    """Guards against a log line that an operator can't look up."""
    header = ("message", "part", "level", "text", "meaning", "action")
    assert read_table(OPERATIONS, *header) == [
        (name, m.part, m.level, m.text, m.meaning, m.action)
        for name, m in messages.CATALOGUE.items()
    ]


def test_every_error_kind_is_documented():
    """Guards against an error whose meaning a caller must guess."""
    header = ("kind", "status", "run", "retry helps", "meaning")
    rows = read_table(PROTOCOL, *header)
    assert [row[:4] for row in rows] == [
        (kind.value, str(a.status), a.run.value, "yes" if a.retryable else "no")
        for kind, a in exceptions.ANSWERS.items()
    ]


def test_every_change_and_peer_message_is_documented():
    """Guards against messages whose fields a reader must guess."""

    def _rows(*header):
        return {
            row[0]: tuple(re.findall(r"\w+", row[1]))
            for row in read_table(PROTOCOL, *header)
        }

    changes = typing.get_args(configuration.Change)
    assert _rows("change", "fields") == {
        c.__struct_config__.tag: c.__struct_fields__ for c in changes
    }
    assert _rows("message", "fields") == {
        m.__name__: tuple(f.name for f in dataclasses.fields(m))
        for m in typing.get_args(peers.Message)
    }


@pytest.mark.parametrize(
    ("cls", "header"),
    [
        (callers.Submission, ("field", "type", "default", "meaning")),
        (callers.View, ("field", "type", "meaning")),
    ],
)
def test_every_field_of_callers_is_documented(cls, header):
    """Guards against fields of the public protocol that nobody knows."""
    rows = read_table(PROTOCOL, *header)
    assert [row[0] for row in rows] == list(cls.__annotations__)


@pytest.mark.parametrize(("name", "text"), EXAMPLES)
def test_examples_pass_the_parsers(name, text):
    """Guards against examples that the programs refuse."""
    plain = msgspec.json.decode(text)
    match name.split("."):
        case ["submission"]:
            callers.parse_submission(text.encode())
        case ["change"]:
            operators.parse_change(text.encode())
        case ["envelope"]:
            peers.decode(msgspec.msgpack.encode(plain))
        case ["json"]:
            assert isinstance(plain, dict)
        case [module, body]:
            modules = {"callers": callers, "targets": targets}
            cls = getattr(modules[module], body, None)
            cls = cls or getattr(web, body)
            msgspec.convert(plain, cls)
            check_fields(plain, cls)


def test_every_body_has_an_example():
    """Guards against messages that are described nowhere."""
    named = {name.rpartition(".")[2] for name, _ in EXAMPLES}
    classes = vars(targets).items()
    bodies = {name for name, cls in classes if typing.is_typeddict(cls)}
    assert bodies - NESTED <= named
    assert {"submission", "change", "envelope", "View", "Span"} <= named


def test_every_alert_is_documented_and_uses_declared_metrics():
    """Guards against alerts that never fire or that nobody understands."""
    rules = (ROOT / "examples/alerts.yaml").read_text()
    rows = read_table(OPERATIONS, "alert", "meaning", "first action")
    alerts = re.findall(r"alert: (\w+)", rules)
    assert [row[0] for row in rows] == alerts
    declared = {declaration.name for declaration in metrics.DECLARATIONS}
    used = set(re.findall(r"quetzal_\w+", rules))
    assert {name.removesuffix("_bucket") for name in used} <= declared


def test_names_in_running_text_exist():
    """Guards against text that names settings or metrics of the past."""
    known = {item.path for item in settings.describe()}
    declared = {
        declaration.name
        for declaration in (
            *metrics.DECLARATIONS,
            *nodemetrics.DECLARATIONS,
        )
    }
    for file in (ROOT / "docs").glob("*.md"):
        text = file.read_text()
        for path in re.findall(r"`(process\.[a-z_.]+)`", text):
            assert path in known, f"{file.name}: {path}"
        for name in re.findall(r"`(quetzal_\w+)`", text):
            assert name in declared, f"{file.name}: {name}"
    hops = ", ".join(tracing.HOPS)
    assert hops in " ".join(PROTOCOL.split())


def test_glossary_maps_words_both_ways():
    """Guards against a newcomer's word that leads nowhere."""
    text = (ROOT / "docs/glossary.md").read_text()
    here = read_table(text, "here", "elsewhere", "meaning")
    back = dict(read_table(text, "elsewhere", "here"))
    assert [row[0] for row in here] == [
        "VM",
        "failure domain",
        "team",
        "target",
    ]
    for word, elsewhere, _ in here:
        for other in elsewhere.split(", "):
            assert word in back[other]
