"""Records of the placer: requests in placing and what surrounds it."""

import dataclasses
import typing

from quetzalswitch import records
from quetzalswitch.peers import protocol as peer_protocol

# Phases of a placement.
QUEUED = "queued"
ELSEWHERE = "elsewhere"
RECORDING = "recording"
SENT = "sent"
FORWARDED = "forwarded"


@dataclasses.dataclass
class Placement:
    """A request that this process places.

    Attributes:
        request: The request.
        phase: queued, elsewhere (it fits no target known here and waits for a
            peer), recording (its start is being made durable), sent or
            forwarded (a peer places it).
        since_s: When the phase began.
        home_entry: Entry ID of the home; empty if it is this process.
        attempts: Attempts of the current round that have not ended.
        peer: Entry ID that it was forwarded to.
        forward: Number of the forward.
        withdrawn: Whether its home has asked to stop it.
        version: Configuration version that the start was decided under.
        has_run: Whether an earlier attempt may have run.
    """

    request: records.Request
    phase: str
    since_s: float
    home_entry: str = ""
    attempts: dict[str, records.Attempt] = dataclasses.field(
        default_factory=dict
    )
    peer: str = ""
    forward: int = 0
    withdrawn: bool = False
    version: int = 0
    has_run: bool = False


@dataclasses.dataclass(frozen=True)
class PeerMessage:
    """A message from a peer that concerns placing."""

    envelope: peer_protocol.Envelope


@dataclasses.dataclass(frozen=True)
class Drain:
    """Returns forwarded requests to their homes; nothing new is taken."""


class Surroundings(typing.NamedTuple):
    """What the placer needs from the rest of the process.

    Attributes:
        incarnation: Incarnation of this process.
        is_fresh: Tells whether the configuration may be acted on.
        to_home: Gives a message to the home task.
        to_target: Gives a command to a target's link: (target_id, command).
        to_recovery: Gives a message to the recovery task.
        to_reporter: Reports an outcome to a home elsewhere.
        send: Sends a message to a peer: (entry_id, message).
        find_peers: Returns the last heartbeat of each live peer by entry ID.
        entry_of: Returns the entry ID of a live incarnation, or "".
        knows_all_sizes: Tells whether the sizes of all targets are known.
        is_alive: Tells whether a peer, by entry ID, exchanges heartbeats.
        report_control: Returns the answer to a control query:
            (query, request keys).
        observe: Records an event for history and metrics: (name, fields).
    """

    incarnation: str
    is_fresh: typing.Callable[[], bool]
    to_home: typing.Callable[[typing.Any], None]
    to_target: typing.Callable[[str, typing.Any], None]
    to_recovery: typing.Callable[[typing.Any], None]
    to_reporter: typing.Callable[[typing.Any], None]
    send: typing.Callable[[str, typing.Any], None]
    find_peers: typing.Callable[[], dict[str, peer_protocol.Heartbeat]]
    entry_of: typing.Callable[[str], str]
    knows_all_sizes: typing.Callable[[], bool]
    is_alive: typing.Callable[[str], bool]
    report_control: typing.Callable[
        [int, set[str]], peer_protocol.ControlReport
    ]
    observe: typing.Callable[..., None]


@dataclasses.dataclass(frozen=True)
class MoveHome:
    """Requests of a dead home now belong to another incarnation."""

    new_home: str
    request_keys: frozenset[str]


@dataclasses.dataclass(frozen=True)
class Yield:
    """Drops a request that is about to be handed over, if it only waits."""

    request_key: str
