"""Recorded traces: JSON lines with a header and events in order of time."""

import pathlib
import typing

import msgspec

from quetzalswitch import configuration as configurations
from quetzalswitch import exceptions
from quetzalswitch import records

FORMAT = 1


class TargetGroup(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Like targets of one rack.

    Attributes:
        count: Number of targets.
        failure_domain: Failure domain of the rack.
        rack: Name of the rack; targets are named after it.
        cores: Cores of each.
        memory_mb: Memory of each in MB.
        accelerators: Accelerators of each.
        slots: Tasks that each runs at once.
    """

    count: int
    failure_domain: str
    rack: str
    cores: float = 64.0
    memory_mb: int = 131_072
    accelerators: int = 0
    slots: int = 8


class Header(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """First line of a trace.

    Attributes:
        format: Version of the format.
        name: Name of the trace.
        targets: Targets, by rack.
        teams: Teams; each may run `max_running` tasks here.
        queues: Queues.
        policy: Settings that differ from the defaults.
        seed: Seed of the generator; 0 for a hand-made trace.
    """

    format: int
    name: str
    targets: list[TargetGroup]
    teams: list[configurations.Team]
    queues: list[configurations.Queue] = []
    policy: dict[str, typing.Any] = {}
    seed: int = 0


class _Event(msgspec.Struct, frozen=True, tag_field="event", tag=str.lower):
    """Something that happens `at_s` seconds after the beginning."""

    at_s: float


class Submit(_Event, tag="submit"):
    """A request arrives.

    Attributes:
        id: Request ID.
        team: Its team.
        queue: Its queue.
        type: latency, batch, service or gang.
        cores: Declared cores of one task.
        memory_mb: Declared memory of one task in MB.
        accelerators: Declared accelerators of one task.
        declared_s: Declared run time; None if not declared.
        actual_s: Real run time of each task.
        size_ratio: Real use over the declared size.
        tasks: Number of tasks of a gang.
        same_rack: Whether a gang wants one rack.
        checkpointable: Whether batch work saves its progress.
        idempotent: Whether it may run again.
        deadline_in_s: Time until its latest useful start.
        never_succeeds: Whether every attempt fails.
    """

    id: str
    team: str
    queue: str
    type: configurations.QueueKind = "batch"
    cores: float = 1.0
    memory_mb: int = 1024
    accelerators: int = 0
    declared_s: float | None = None
    actual_s: float = 1.0
    size_ratio: float = 0.8
    tasks: int = 1
    same_rack: bool = False
    checkpointable: bool = False
    idempotent: bool = True
    deadline_in_s: float | None = None
    never_succeeds: bool = False


class Cancel(_Event, tag="cancel"):
    """A caller cancels a request."""

    id: str
    team: str


class DomainOut(_Event, tag="domain_out"):
    """Operators take a failure domain out of service."""

    domain: str


class DomainBack(_Event, tag="domain_back"):
    """Operators return a failure domain to service."""

    domain: str


class TargetFaulty(_Event, tag="target_faulty"):
    """From now on a target fails every task it starts, or no longer does."""

    target: str
    faulty: bool = True


class TargetLost(_Event, tag="target_lost"):
    """A target dies with its tasks."""

    target: str


class TargetBack(_Event, tag="target_back"):
    """A target that died comes back empty."""

    target: str


class Allowance(_Event, tag="allowance"):
    """The part of a team's upper limit at this entry changes."""

    team: str
    held: int


Event = (
    Submit
    | Cancel
    | DomainOut
    | DomainBack
    | TargetFaulty
    | TargetLost
    | TargetBack
    | Allowance
)


class Trace(typing.NamedTuple):
    """A trace in memory."""

    header: Header
    events: list[Event]


def read(path: pathlib.Path) -> Trace:
    """Returns the trace in a file.

    Raises:
        SettingsError: The file is not a trace; names the line.
    """
    lines = path.read_bytes().splitlines()
    number = 1
    try:
        header = msgspec.json.decode(lines[0], type=Header)
        decoder = msgspec.json.Decoder(Event)
        events = []
        for line in lines[1:]:
            number += 1
            events.append(decoder.decode(line))
    except (msgspec.MsgspecError, IndexError) as error:
        raise exceptions.SettingsError(f"{path}:{number}: {error}") from None
    if header.format != FORMAT:
        raise exceptions.SettingsError(
            f"{path}:1: expected format {FORMAT}, found {header.format}"
        )
    return Trace(header, events)


def write(trace: Trace, path: pathlib.Path) -> None:
    """Writes a trace to a file; fields at their defaults are left out."""
    lines = [msgspec.json.encode(trace.header)]
    for event in trace.events:
        plain = msgspec.to_builtins(event)
        defaults = dict(
            zip(
                event.__struct_fields__[-len(event.__struct_defaults__) :],
                event.__struct_defaults__,
                strict=True,
            )
            if event.__struct_defaults__
            else ()
        )
        kept = {
            name: value
            for name, value in plain.items()
            if name not in defaults or defaults[name] != value
        }
        lines.append(msgspec.json.encode(kept))
    path.write_bytes(b"\n".join(lines) + b"\n")


def make_targets(groups: list[TargetGroup]) -> list[records.Target]:
    """Returns the targets of a header, named rack-number."""
    return [
        records.Target(
            f"{group.rack}-{number}",
            "127.0.0.1:0",
            group.failure_domain,
            group.rack,
            records.Resources(group.cores, group.memory_mb, group.accelerators),
            group.slots,
        )
        for group in groups
        for number in range(group.count)
    ]


def make_request(event: Submit, now_s: float) -> records.Request:
    """Returns the request that an event submits."""
    deadline_s = None
    if event.deadline_in_s is not None:
        deadline_s = now_s + event.deadline_in_s
    return records.Request(
        event.id,
        event.team,
        event.queue,
        make_kind(event),
        records.Resources(event.cores, event.memory_mb, event.accelerators),
        idempotent=event.idempotent,
        run_time_s=event.declared_s,
        deadline_s=deadline_s,
        submitted_s=now_s,
    )


def make_kind(event: Submit) -> records.Kind:
    """Returns the kind that an event names."""
    match event.type:
        case "latency":
            return records.LatencyBound()
        case "service":
            return records.Service()
        case "gang":
            return records.Gang(event.tasks, event.same_rack)
        case _:
            return records.Batch(event.checkpointable)


def make_configuration(header: Header) -> configurations.Configuration:
    """Returns the cluster configuration of a header."""
    return configurations.Configuration(
        version=1,
        teams={team.name: team for team in header.teams},
        queues={queue.name: queue for queue in header.queues},
    )
