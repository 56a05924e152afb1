"""Types, defaults and documentation of all settings."""

import types
import typing

import msgspec

from quetzalswitch import bounds

_A = typing.Annotated

# Length of the control lease that targets grant.
_CONTROL_LEASE_S: typing.Final = 4.0


def _doc(text: str, **limits: typing.Any) -> msgspec.Meta:
    return msgspec.Meta(description=text, **limits)


def _seconds(text: str) -> msgspec.Meta:
    return _doc(text, gt=0, le=30 * 24 * 3600)


_Seconds = _A[float, msgspec.Meta(gt=0, le=30 * 24 * 3600)]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of sections; a key that is not declared is refused."""


class Times(_Section, kw_only=True):
    """Time constants, in seconds."""

    start_window_s: _A[
        float,
        _seconds(
            "A target refuses a start that reaches it later than this after "
            "the entry last read the target's clock."
        ),
    ] = 2.0
    sync_wait_s: _A[
        float,
        _seconds("Longest time that a target holds a sync long poll open."),
    ] = 1.0
    # An entry whose configuration was not confirmed for 5 s starts nothing.
    head_read_interval_s: _A[
        float,
        _doc("Time between reads of the configuration's head.", gt=0, le=2),
    ] = 1.0
    # A longer gap between heartbeats is taken for a pause of the sender.
    heartbeat_interval_s: _A[
        float, _doc("Time between heartbeats to each peer.", gt=0, le=1)
    ] = 0.5
    target_timeout_s: _A[
        float,
        _seconds("Deadline of one exchange with a target, without long polls."),
    ] = 1.0
    store_timeout_s: _A[
        float, _seconds("Deadline of one exchange with the platform.")
    ] = 2.0
    drain_delay_s: _A[
        float,
        _seconds(
            "Time on a planned stop during which requests are still accepted "
            "while the load balancer notices the failing health check."
        ),
    ] = 5.0
    drain_timeout_s: _A[
        float,
        _seconds(
            "Time on a planned stop after which what is still in flight is "
            "handed over."
        ),
    ] = 60.0
    retention_s: _A[
        float,
        _doc(
            "Time after its end for which a stored request and its result "
            "are kept.",
            ge=60,
            le=365 * 24 * 3600,
        ),
    ] = 7 * 24 * 3600.0


class Store(_Section, kw_only=True):
    """Limits on the use of the table service."""

    commits_per_s: _A[
        float,
        _doc(
            "Transactions a second from this process; all entries together "
            "must stay under what the table service handles.",
            gt=0,
            le=1000,
        ),
    ] = 40.0


class Retries(_Section, kw_only=True):
    """Budget and pauses of retries."""

    budget_ratio: _A[
        float, _doc("Retries allowed for each first attempt.", ge=0, le=1)
    ] = 0.1
    budget_initial_count: _A[
        int, _doc("Retries allowed before any first attempt.", ge=0, le=1000)
    ] = 10
    backoff_base_s: _A[
        float, _seconds("Upper bound of the first backoff delay.")
    ] = 0.05
    backoff_cap_s: _A[
        float, _seconds("Upper bound of every backoff delay.")
    ] = 5.0


class Policy(_Section, kw_only=True):
    """What a site may change in the placement policy.

    The names are those of `policy.SITE_FIELDS`.
    """

    batch_max_wait_s: _A[
        float,
        _seconds(
            "Age after which work that can wait is placed ahead of urgent work."
        ),
    ] = 600.0
    overdue_every: _A[
        int,
        _doc(
            "While urgent work waits, one placement in so many is overdue.",
            ge=1,
            le=1000,
        ),
    ] = 4
    urgent_slack_s: _A[
        float, _seconds("Deadline assumed for urgent work that states none.")
    ] = 30.0
    urgent_preempt_after_s: _A[
        _Seconds | typing.Literal["off"],
        _doc('Wait after which urgent work preempts batch work; or "off".'),
    ] = 2.0
    urgent_reserve: _A[
        float,
        _doc("Part of all slots that only urgent work may use.", ge=0, le=1),
    ] = 0.0
    share_history_half_life_s: _A[
        float, _seconds("Half-life of past use in the order of shares.")
    ] = 60.0
    share_history_weight: _A[
        float, _doc("Weight of past use against present use.", ge=0, le=1)
    ] = 0.1
    share_return_s: _A[
        _Seconds | typing.Literal["off"],
        _doc('Time to claim lent share back by preemption; or "off".'),
    ] = 15.0
    share_tolerance: _A[
        float,
        _doc(
            "Part of capacity by which a team may exceed its share.",
            ge=0,
            le=1,
        ),
    ] = 0.02
    hold_after_s: _A[
        float,
        _seconds("Wait after which capacity is held for a large request."),
    ] = 10.0
    hold_max_s: _A[
        float,
        _seconds("Longest time that capacity is held back for one request."),
    ] = 120.0
    hold_pause_s: _A[
        float, _seconds("Pause before capacity is held back for it again.")
    ] = 30.0
    hold_rest: _A[
        float,
        _doc(
            "Time without any hold after one, as a multiple of its length.",
            ge=0,
            le=100,
        ),
    ] = 1.0
    fit_candidates: _A[
        int, _doc("Fitting targets compared for one placement.", ge=1, le=1000)
    ] = 4
    balance_weight: _A[
        float,
        _doc(
            "Weight of even use of cores and memory against the tightest fit.",
            ge=0,
            le=1,
        ),
    ] = 0.5
    reclaim: _A[
        bool,
        _doc("Whether a smaller learned size replaces the declared one."),
    ] = False
    estimate_margin: _A[
        float, _doc("Factor on the learned size.", ge=1, le=10)
    ] = 1.2
    default_run_time_s: _A[
        float, _seconds("Run time assumed when nothing is known.")
    ] = 60.0
    max_queued: _A[
        int,
        _doc(
            "Waiting requests accepted for all queues of one entry together.",
            ge=1,
        ),
    ] = 200000
    admission_margin: _A[
        float,
        _doc(
            "Refuse when the estimated wait exceeds its time by this factor.",
            ge=0.1,
            le=100,
        ),
    ] = 1.5
    evacuate: _A[
        bool,
        _doc("Whether batch work leaves a failure domain taken out."),
    ] = True


def policy_values(policy: Policy) -> dict[str, typing.Any]:
    """Returns the policy as `policy.make_policy` takes it; off is None."""
    plain = msgspec.structs.asdict(policy)
    return {k: None if v == "off" else v for k, v in plain.items()}


class Tracing(_Section, kw_only=True):
    """Recording and export of spans."""

    stored_traces_count: _A[
        int, _doc("Traces kept in memory for `quetzal trace`.", ge=0, le=100000)
    ] = 1000
    otlp_endpoint: _A[
        str | None,
        _doc(
            "URL of an OTLP/HTTP collector; spans are not exported without it."
        ),
    ] = None


class Process(_Section, kw_only=True):
    """Settings of one entry process."""

    entry_id: _A[
        str,
        _doc(
            "Name of this entry VM, unique in the cell.",
            pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}\Z",
        ),
    ]
    failure_domain: _A[
        str, _doc("Failure domain that this VM stands in.", min_length=1)
    ]
    region: _A[str, _doc("Region that this VM stands in.", min_length=1)]
    callers_address: _A[
        str, _doc("IP address and port on which callers are served.")
    ]
    operators_address: _A[
        str, _doc("IP address and port on which operators are served.")
    ]
    peers_address: _A[
        str, _doc("IP address and port on which peers are served.")
    ]
    platform_address: _A[
        str, _doc("IP address and port of the platform's services.")
    ]
    operator_key: _A[
        str,
        _doc(
            "Key that operators present; at least 16 characters; never shown.",
            min_length=16,
        ),
    ]
    log_level: _A[
        typing.Literal["debug", "info", "warning", "error"],
        _doc("Least level of log messages that are written."),
    ] = "info"
    log_json: _A[bool, _doc("Write each log message as a JSON object.")] = False
    times: Times = Times()
    store: Store = Store()
    retries: Retries = Retries()
    policy: Policy = Policy()
    tracing: Tracing = Tracing()
    clients: bounds.Limits = bounds.Limits()

    def __repr__(self) -> str:
        """Leaves out the operator key, which must not reach a log."""
        return f"Process(entry_id={self.entry_id!r})"


class Team(_Section, kw_only=True):
    """A team."""

    share: _A[
        float,
        _doc("Weight against other teams when capacity is full.", gt=0),
    ]
    max_running: _A[
        int, _doc("Upper limit on tasks running across the fleet.", ge=0)
    ]


class Key(_Section, kw_only=True):
    """A granted key."""

    team: _A[str, _doc("Team that work is accepted for.")]
    digest: _A[
        str,
        _doc(
            "SHA-256 of the key in lower-case hex, as `quetzalctl key digest` "
            "prints it.",
            pattern=r"^[0-9a-f]{64}\Z",
        ),
    ]


class Queue(_Section, kw_only=True):
    """A queue; `team` or `open_to_all` must be stated."""

    team: _A[str | None, _doc("Team that may use the queue.")] = None
    open_to_all: _A[
        bool,
        _doc(
            "Whether everybody may use the queue; needs the team `open`, to "
            "which work without a key is charged."
        ),
    ] = False
    kind: _A[
        typing.Literal["latency", "batch", "service", "gang"],
        _doc("Kind of request that the queue takes."),
    ] = "batch"
    priority: _A[int, _doc("Larger is served first.", ge=-1000, le=1000)] = 0
    max_queued: _A[int, _doc("Requests that may wait at one entry.", ge=1)] = (
        10_000
    )
    max_wait_s: _A[
        _Seconds | None,
        _doc("A request that waited longer is refused; no bound if absent."),
    ] = None


class Cluster(_Section, kw_only=True):
    """Desired cluster configuration; a section left out is not managed."""

    teams: _A[dict[str, Team] | None, _doc("Teams by name.")] = None
    keys: _A[dict[str, Key] | None, _doc("Keys by name.")] = None
    queues: _A[dict[str, Queue] | None, _doc("Queues by name.")] = None
    domains_out: _A[
        tuple[str, ...] | None,
        _doc("Failure domains out of service; others are put back."),
    ] = None
    targets_out: _A[
        tuple[str, ...] | None,
        _doc("Targets out of service; others are put back."),
    ] = None


class Root(_Section, kw_only=True):
    """A whole settings file."""

    process: Process
    cluster: Cluster = Cluster()


ITEMS: typing.Final = {"teams": Team, "keys": Key, "queues": Queue}


class Problem(typing.NamedTuple):
    """A value that contradicts another one."""

    path: tuple[str, ...]
    text: str


def find_problem(root: Root) -> Problem | None:
    """Returns the first contradiction between values, if any."""
    return (
        _find_address_problem(root.process)
        or _find_lease_problem(root.process.times)
        or _find_order_problem(root.process)
        or _find_queue_problem(root.cluster)
    )


def parse_address(address: str) -> tuple[str, int] | None:
    """Returns host and port, or None when it is not `host:port`."""
    host, separator, port = address.rpartition(":")
    if not host or not separator or not port.isdecimal():
        return None
    return (host.strip("[]"), int(port)) if int(port) < 65536 else None


def name_type(hint: typing.Any) -> str:
    """Returns a type as the documentation shows it."""
    if typing.get_origin(hint) is typing.Annotated:
        hint = typing.get_args(hint)[0]
    if typing.get_origin(hint) is typing.Literal:
        return " or ".join(f'"{name}"' for name in typing.get_args(hint))
    if typing.get_origin(hint) in (types.UnionType, typing.Union):
        parts = [a for a in typing.get_args(hint) if a is not type(None)]
        return " or ".join(name_type(part) for part in parts)
    if typing.get_origin(hint) is tuple:
        return "list of strings"
    names = {str: "string", int: "integer", float: "number", bool: "boolean"}
    return names[hint]


def _find_address_problem(process: Process) -> Problem | None:
    names = (
        "callers_address",
        "operators_address",
        "peers_address",
        "platform_address",
    )
    pairs = [(name, getattr(process, name)) for name in names]
    for name, address in pairs:
        if parse_address(address) is None:
            return Problem(
                ("process", name),
                f"process.{name}: expected host:port, found {address!r}",
            )
    return None


def _find_lease_problem(times: Times) -> Problem | None:
    """Checks that a lost exchange leaves time to keep the control lease."""
    needed_s = times.sync_wait_s + 2 * times.target_timeout_s
    if needed_s < _CONTROL_LEASE_S:
        return None
    return Problem(
        ("process", "times", "target_timeout_s"),
        "process.times.target_timeout_s: expected sync_wait_s + 2 * "
        f"target_timeout_s below {_CONTROL_LEASE_S:g}, found {needed_s:g}",
    )


def _find_order_problem(process: Process) -> Problem | None:
    rules = (
        ("retries", process.retries, "backoff_base_s", "backoff_cap_s"),
        ("policy", process.policy, "hold_after_s", "hold_max_s"),
    )
    for section, values, low, high in rules:
        low_value = getattr(values, low)
        high_value = getattr(values, high)
        if low_value >= high_value:
            return Problem(
                ("process", section, low),
                f"process.{section}.{low}: expected less than {high} "
                f"({high_value:g}), found {low_value:g}",
            )
    return None


def _find_queue_problem(cluster: Cluster) -> Problem | None:
    for name, queue in (cluster.queues or {}).items():
        if queue.open_to_all == (queue.team is not None):
            return Problem(
                ("cluster", "queues", name),
                f"cluster.queues.{name}: expected either team or open_to_all, "
                f"found {'both' if queue.open_to_all else 'neither'}",
            )
    return None
