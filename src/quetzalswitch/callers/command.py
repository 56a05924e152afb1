"""`quetzal`, the command line for callers."""

import os
import pathlib
import sys
import typing

import cyclopts

from quetzalswitch import clock as clocks
from quetzalswitch import console
from quetzalswitch import exceptions
from quetzalswitch import records
from quetzalswitch.callers import client
from quetzalswitch.callers import protocol

DEFAULT_ENTRY: typing.Final = "127.0.0.1:7400"
KEY_VARIABLE: typing.Final = "QUETZAL_KEY"

app = console.make_app("quetzal", "Submit requests and follow them.")

_Entries = typing.Annotated[
    tuple[str, ...],
    cyclopts.Parameter(
        name="--entry",
        negative="",
        env_var="QUETZAL_ENTRY",
        help="Address of an entry, host:port; may be repeated.",
    ),
]
_KeyFile = typing.Annotated[
    pathlib.Path | None,
    cyclopts.Parameter(
        help="File with the key; otherwise the variable QUETZAL_KEY is read."
    ),
]
_JsonFlag = typing.Annotated[
    bool, cyclopts.Parameter(negative="", help="Print the answer as JSON.")
]


@app.command
def submit(
    queue: str,
    *,
    payload: str = "",
    payload_file: pathlib.Path | None = None,
    id: str | None = None,
    wait: typing.Annotated[bool, cyclopts.Parameter(negative="")] = False,
    kind: typing.Literal["latency", "batch", "service", "gang"] = "latency",
    non_idempotent: typing.Annotated[
        bool, cyclopts.Parameter(negative="")
    ] = False,
    checkpointable: typing.Annotated[
        bool, cyclopts.Parameter(negative="")
    ] = False,
    same_rack: typing.Annotated[bool, cyclopts.Parameter(negative="")] = False,
    cores: float = 1.0,
    memory_mb: int = 512,
    accelerators: int = 0,
    tasks: int | None = None,
    run_time_s: float | None = None,
    deadline_s: float | None = None,
    trace_parent: str = "",
    entry: _Entries = (DEFAULT_ENTRY,),
    key_file: _KeyFile = None,
    json: _JsonFlag = False,
) -> int:
    """Submit a request.

    Args:
        queue: Queue to submit to.
        payload: Input of the request.
        payload_file: File with the input; "-" for standard input.
        id: Request ID; submissions with the same ID run once.
        wait: Wait for the result and print it.
        kind: Scheduling kind of the request.
        non_idempotent: The request must not be run a second time.
        checkpointable: The task can save its progress when preempted (batch
            only).
        same_rack: The tasks should run in one rack (gang only).
        cores: Processor cores of one task.
        memory_mb: Memory of one task in MB.
        accelerators: Accelerators of one task.
        tasks: Number of tasks (gang only).
        run_time_s: Expected run time in seconds.
        deadline_s: Latest useful start, in seconds from now.
        trace_parent: W3C traceparent of the trace that the request joins.
        entry: Address of an entry, host:port; may be repeated.
        key_file: File with the key.
        json: Print the answer as JSON.
    """
    body: dict[str, typing.Any] = {
        "queue": queue,
        "payload": _read_payload(payload, payload_file),
        "wait": wait,
        "idempotent": not non_idempotent,
        "kind": _make_kind(kind, checkpointable, same_rack),
        "cores": cores,
        "memory_mb": memory_mb,
        "accelerators": accelerators,
        "request_id": id,
        "tasks": tasks,
        "run_time_s": run_time_s,
        "deadline_s": deadline_s,
    }
    submission = {k: v for k, v in body.items() if v is not None}
    view = _connect(entry, key_file).submit(
        typing.cast(protocol.Submission, submission), trace_parent
    )
    return _print_view(view, json, must_be_final=wait)


@app.command
def wait(
    request_id: str,
    *,
    timeout_s: float = 300.0,
    entry: _Entries = (DEFAULT_ENTRY,),
    key_file: _KeyFile = None,
    json: _JsonFlag = False,
) -> int:
    """Wait until a request has ended and print its result.

    Args:
        request_id: ID of the request.
        timeout_s: Longest time to wait in seconds.
        entry: Address of an entry, host:port; may be repeated.
        key_file: File with the key.
        json: Print the answer as JSON.
    """
    view = _connect(entry, key_file).wait(request_id, timeout_s)
    return _print_view(view, json, must_be_final=True)


@app.command
def status(
    request_id: str,
    *,
    entry: _Entries = (DEFAULT_ENTRY,),
    key_file: _KeyFile = None,
    json: _JsonFlag = False,
) -> int:
    """Print the state of a request.

    Args:
        request_id: ID of the request.
        entry: Address of an entry, host:port; may be repeated.
        key_file: File with the key.
        json: Print the answer as JSON.
    """
    view = _connect(entry, key_file).view(request_id)
    return _print_view(view, json, must_be_final=False)


@app.command
def cancel(
    request_id: str,
    *,
    entry: _Entries = (DEFAULT_ENTRY,),
    key_file: _KeyFile = None,
    json: _JsonFlag = False,
) -> int:
    """Cancel a request.

    Args:
        request_id: ID of the request.
        entry: Address of an entry, host:port; may be repeated.
        key_file: File with the key.
        json: Print the answer as JSON.
    """
    view = _connect(entry, key_file).cancel(request_id)
    _print_state(view, json)
    cancelled = view["state"] == records.RequestState.CANCELLED.value
    return console.DONE if cancelled else console.FAILED


@app.command
def trace(
    request_id: str,
    *,
    entry: _Entries = (DEFAULT_ENTRY,),
    key_file: _KeyFile = None,
    json: _JsonFlag = False,
) -> int:
    """Print the trace spans of a request as a tree.

    Args:
        request_id: ID of the request.
        entry: Address of an entry, host:port; may be repeated.
        key_file: File with the key.
        json: Print the spans as JSON.
    """
    spans = _connect(entry, key_file).trace(request_id)
    if json:
        console.print_json(spans)
    elif not spans:
        print("no spans are recorded for this request")
    for line in () if json else format_tree(spans):
        print(line)
    return console.DONE


def main() -> None:
    """Runs `quetzal` and exits the process with its exit code."""
    sys.exit(console.run(app))


def format_tree(spans: list[protocol.Span]) -> list[str]:
    """Returns one line per span, indented below the line of its parent."""
    span_ids = {span["span_id"] for span in spans}
    children: dict[str, list[protocol.Span]] = {}
    for span in sorted(spans, key=lambda span: span["start_s"]):
        # A span is a root if its parent is outside this request or was lost.
        parent = span["parent_id"] if span["parent_id"] in span_ids else ""
        children.setdefault(parent, []).append(span)
    start_s = min((span["start_s"] for span in spans), default=0.0)
    lines: list[str] = []
    # An explicit stack terminates even if spans name each other as parent;
    # recursion would not.
    stack = [(span, 0) for span in reversed(children.get("", []))]
    while stack:
        span, depth = stack.pop()
        lines.append(_format_span(span, depth, start_s))
        child_spans = children.pop(span["span_id"], [])
        stack += [(child, depth + 1) for child in reversed(child_spans)]
    return lines


def _format_span(span: protocol.Span, depth: int, start_s: float) -> str:
    offset_ms = (span["start_s"] - start_s) * 1000
    duration_ms = span["duration_s"] * 1000
    details = " ".join(f"{k}={v}" for k, v in span["attributes"].items())
    name = "  " * depth + span["name"]
    times = f"+{offset_ms:9.1f} ms {duration_ms:9.1f} ms"
    return f"{name:24} {times}  {span['entry']} {details}".rstrip()


def _connect(
    entries: tuple[str, ...], key_file: pathlib.Path | None
) -> client.CallerClient:
    key = os.environ.get(KEY_VARIABLE)
    if key_file is not None:
        key = _read_text(key_file).strip()
    return client.CallerClient(entries, key, clocks.SystemClock())


def _read_payload(payload: str, file: pathlib.Path | None) -> str:
    if file is None:
        return payload
    if payload:
        raise exceptions.SettingsError(
            "--payload and --payload-file can't be given together"
        )
    return sys.stdin.read() if str(file) == "-" else _read_text(file)


def _read_text(file: pathlib.Path) -> str:
    try:
        return file.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.SettingsError(f"{file}: {error}") from None


def _make_kind(kind: str, checkpointable: bool, same_rack: bool) -> dict:
    body: dict[str, typing.Any] = {"type": kind}
    if checkpointable:
        body["checkpointable"] = True
    if same_rack:
        body["same_rack"] = True
    return body


def _print_state(view: protocol.View, as_json: bool) -> None:
    if as_json:
        console.print_json(view)
    else:
        print(f"{view['request_id']} {view['state']}")


def _print_view(
    view: protocol.View, as_json: bool, *, must_be_final: bool
) -> int:
    _print_state(view, as_json)
    result = view.get("result")
    error = view.get("error")
    if not as_json and result is not None:
        print(result["body"])
    if not as_json and error is not None:
        console.print_error(f"{error['kind']}: {error['message']}")
    if not client.is_final(view):
        return console.FAILED if must_be_final else console.DONE
    is_done = view["state"] == records.RequestState.DONE.value
    return console.DONE if is_done else console.FAILED
