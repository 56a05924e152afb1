"""Payloads that define how tasks behave on a stand-in target."""

import math
import typing

import msgspec

from quetzalswitch import records
from quetzalswitch.targets import protocol

DEFAULT_RUN_S = 0.02


class TaskBehaviour(typing.NamedTuple):
    """Behaviour of a task; `run_s` is infinite for a service."""

    run_s: float
    output: str
    fail: bool
    usage: records.Resources


def read_size(body: protocol.ResourcesBody) -> records.Resources:
    """Converts a size from its wire format."""
    return records.Resources(
        body["cores"], body["memory_mb"], body["accelerators"]
    )


def parse_behaviour(
    start: protocol.StartBody, fails_all: bool
) -> TaskBehaviour:
    """Returns the behaviour described by a JSON payload.

    A task whose payload is not a JSON object runs for `DEFAULT_RUN_S` and
    returns the payload as its output.
    """
    size = read_size(start["size"])
    payload = start["payload"]
    try:
        plan = msgspec.json.decode(payload)
    except msgspec.DecodeError:
        plan = None
    if not isinstance(plan, dict):
        return TaskBehaviour(DEFAULT_RUN_S, payload, fails_all, size)
    run_ms = plan.get("run_ms", DEFAULT_RUN_S * 1000)
    output = plan.get("output", payload)
    if "output_bytes" in plan:
        output = "x" * plan["output_bytes"]
    usage = size._replace(
        cores=plan.get("use_cores", size.cores),
        memory_mb=plan.get("use_memory_mb", size.memory_mb),
    )
    return TaskBehaviour(
        math.inf if run_ms is None else run_ms / 1000,
        output,
        fails_all or plan.get("fail", False),
        usage,
    )
