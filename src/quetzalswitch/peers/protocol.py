"""Messages between entry processes (MessagePack over pynng)."""

import dataclasses
import typing

import msgspec

from quetzalswitch import decoding
from quetzalswitch import records


class MemberInfo(typing.NamedTuple):
    """An entry that the sender of a heartbeat lists as a member."""

    incarnation: str
    entry_id: str
    address: str


class TeamSummary(typing.NamedTuple):
    """Load of one team at one entry.

    Attributes:
        team: Team name.
        headroom: Unused allowance of the team at this entry.
        queued: Requests waiting.
        running: Tasks running, charged to this entry.
    """

    team: str
    headroom: int
    queued: int
    running: int


class Shape(typing.NamedTuple):
    """A capacity that one or more targets have.

    Attributes:
        size: Whole capacity of such a target.
        slots: Tasks that it runs at once.
        count: Number of such targets.
    """

    size: records.Resources
    slots: int
    count: int


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """Liveness, configuration freshness and load of an entry.

    Attributes:
        sequence: Number of this heartbeat.
        heard: Highest sequence received from the receiver of this heartbeat,
            which acknowledges that heartbeat.
        address: Where the sender listens.
        version: Configuration version in force at the sender; 0 if none.
        confirmed_ago_s: Seconds since the sender confirmed the version by
            reading the table itself; None if never.
        write_failed: Whether the sender's last table access failed.
        members: Entries in the sender's membership; empty in most heartbeats.
        free_slots: Free slots on targets that the sender controls.
        queued: Requests waiting at the sender.
        teams: Load of each team with queued requests, running tasks or
            allowance; None when it is omitted and the value received last
            still applies.
        foreign: Running tasks on the sender's targets that are charged to
            another holder: (holder, team, count).
        unclaimed_since_s: Seconds since some target preferred by the sender
            was last without a known inventory; None when all are known.
        draining: Whether the sender is about to stop.
        shapes: Distinct sizes of the targets that the sender controls.
    """

    sequence: int
    heard: int
    address: str
    version: int
    confirmed_ago_s: float | None
    write_failed: bool
    members: list[MemberInfo]
    free_slots: int
    queued: int
    teams: list[TeamSummary] | None
    foreign: list[tuple[str, str, int]]
    unclaimed_since_s: float | None
    draining: bool
    shapes: list[Shape] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class ConfigurationNotice:
    """Announces a configuration version that is durable in the table."""

    version: int


@dataclasses.dataclass(frozen=True)
class Forward:
    """Asks a peer to place a request on behalf of its coordinator.

    `number` rises with each forward of the sender and stays the same when a
    forward is repeated; `deadline_in_s` is the remaining time in seconds, None
    if there is none; `waited_s` is the time waited so far.
    """

    number: int
    request: records.Request
    deadline_in_s: float | None
    waited_s: float


@dataclasses.dataclass(frozen=True)
class ForwardAnswer:
    """Accepts or rejects a forwarded request.

    A request that was not taken has not been started.
    """

    number: int
    request_key: str
    taken: bool
    reason: str


@dataclasses.dataclass(frozen=True)
class AttemptStarted:
    """Reports to the coordinator that attempts of its request were sent."""

    request_key: str
    attempt_ids: list[str]
    target_ids: list[str]


@dataclasses.dataclass(frozen=True)
class AttemptFinished:
    """Reports the outcome of an attempt to the request's coordinator.

    It is repeated until `AttemptFinishedAck` arrives. `outcome` is one of
    finished, not_started, lost, preempted. `spans` are those that the sender
    recorded for the request, as in `callers.protocol.Span`.
    """

    request_key: str
    outcome: str
    result: records.Result
    target_id: str
    spans: list[dict[str, typing.Any]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class AttemptFinishedAck:
    """Confirms that the coordinator has stored or delivered the outcome."""

    request_key: str
    attempt_id: str


@dataclasses.dataclass(frozen=True)
class Cancel:
    """Asks a peer to drop a forwarded request."""

    request_key: str


@dataclasses.dataclass(frozen=True)
class ReleaseTarget:
    """Asks the holder of a target to hand it over to the sender."""

    target_id: str


@dataclasses.dataclass(frozen=True)
class HomeMoved:
    """Announces that the sender coordinates the requests of a dead entry.

    The wire names call the coordinator of a request its home.
    """

    old_home: str
    request_keys: list[str]


@dataclasses.dataclass(frozen=True)
class ControlQuery:
    """Asks which targets the receiver controls and where requests run.

    The receiver drops the listed forwarded requests that it has not started,
    and rejects every forward of the sender up to number `last_forward`.
    """

    query: int
    last_forward: int
    request_keys: list[str]


@dataclasses.dataclass(frozen=True)
class ControlReport:
    """Answers `ControlQuery`.

    Attributes:
        query: Number of the query.
        targets: Targets whose control lease the sender holds.
        attempts: Running attempts and unstored outcomes of the requests asked
            about: (request key, attempt ID, target ID).
    """

    query: int
    targets: list[str]
    attempts: list[tuple[str, str, str]]


Message = (
    Heartbeat
    | ConfigurationNotice
    | Forward
    | ForwardAnswer
    | AttemptStarted
    | AttemptFinished
    | AttemptFinishedAck
    | Cancel
    | ReleaseTarget
    | HomeMoved
    | ControlQuery
    | ControlReport
)

_TYPES: typing.Final[dict[str, type]] = {
    message.__name__: message for message in typing.get_args(Message)
}
_HEARTBEAT_FIELDS: typing.Final = tuple(
    field.name for field in dataclasses.fields(Heartbeat)
)
_KINDS: typing.Final[dict[str, type]] = {
    kind.__name__: kind for kind in typing.get_args(records.Kind)
}


class Envelope(typing.NamedTuple):
    """A message with its sender.

    Attributes:
        sender: Entry ID of the sender.
        incarnation: Incarnation of the sender.
        message: The message.
    """

    sender: str
    incarnation: str
    message: Message


def encode(envelope: Envelope) -> bytes:
    """Returns the envelope as MessagePack."""
    message = envelope.message
    body = _to_plain(message)
    parts = (type(message).__name__, envelope.sender, envelope.incarnation)
    return msgspec.msgpack.encode((*parts, body))


def decode(data: bytes) -> Envelope:
    """Returns the envelope read from MessagePack.

    Raises:
        ProtocolError: The bytes are not a known message.
    """
    return decoding.decode(_decode_envelope, data, "a message of a peer")


def _decode_envelope(data: bytes) -> Envelope:
    name, sender, incarnation, body = msgspec.msgpack.decode(data)
    return Envelope(sender, incarnation, _from_plain(_TYPES[name], body))


def _to_plain(message: Message) -> typing.Any:
    if isinstance(message, Heartbeat):
        # Heartbeats go to every peer twice a second; omitting the field names
        # about halves their size.
        return [getattr(message, name) for name in _HEARTBEAT_FIELDS]
    if isinstance(message, Forward):
        return {
            "number": message.number,
            "request": request_to_plain(message.request),
            "deadline_in_s": message.deadline_in_s,
            "waited_s": message.waited_s,
        }
    return message


def _from_plain(cls: type, body: typing.Any) -> Message:
    if cls is Heartbeat:
        body = dict(zip(_HEARTBEAT_FIELDS, body, strict=True))
    if cls is Forward:
        request = request_from_plain(body["request"])
        return Forward(
            body["number"], request, body["deadline_in_s"], body["waited_s"]
        )
    return msgspec.convert(body, cls)


def request_to_plain(request: records.Request) -> dict:
    """Returns a request as maps and lists, with the kind by name."""
    plain = request._asdict()
    kind = dataclasses.asdict(request.kind)
    plain["kind"] = {"type": type(request.kind).__name__, **kind}
    plain["size"] = list(request.size)
    return plain


def request_from_plain(plain: dict) -> records.Request:
    """Returns the request that `request_to_plain` converted.

    Raises:
        KeyError: The kind is unknown or a field is missing.
        msgspec.ValidationError: A field has the wrong type.
    """
    plain = dict(plain)
    kind = dict(plain["kind"])
    cls = _KINDS[kind.pop("type")]
    plain["kind"] = msgspec.convert(kind, cls)
    plain["size"] = records.Resources(*plain["size"])
    return records.Request(**plain)
