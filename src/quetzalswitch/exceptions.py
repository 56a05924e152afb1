"""Exceptions, the error kinds of the API and their HTTP answers."""

import enum
import typing


class ErrorKind(enum.StrEnum):
    """Every kind of error that callers and operators can receive."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    ID_CONFLICT = "id_conflict"
    VERSION_CONFLICT = "version_conflict"
    NEVER_FITS = "never_fits"
    QUEUE_FULL = "queue_full"
    TOO_LATE = "too_late"
    CANCELLED = "cancelled"
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    STORE_UNAVAILABLE = "store_unavailable"
    CONFIGURATION_STALE = "configuration_stale"
    JOB_FAILED = "job_failed"
    RESULT_DAMAGED = "result_damaged"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


class RunState(enum.StrEnum):
    """Whether the request of an error answer ran."""

    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Answer(typing.NamedTuple):
    """HTTP status, run state and retryability of an error kind."""

    status: int
    run: RunState
    retryable: bool


ANSWERS: typing.Final[dict[ErrorKind, Answer]] = {
    ErrorKind.BAD_REQUEST: Answer(400, RunState.NOT_RUN, False),
    ErrorKind.BODY_TOO_LARGE: Answer(413, RunState.NOT_RUN, False),
    ErrorKind.UNAUTHENTICATED: Answer(401, RunState.NOT_RUN, False),
    ErrorKind.FORBIDDEN: Answer(403, RunState.NOT_RUN, False),
    ErrorKind.NOT_FOUND: Answer(404, RunState.NOT_RUN, False),
    ErrorKind.ID_CONFLICT: Answer(409, RunState.NOT_RUN, False),
    ErrorKind.VERSION_CONFLICT: Answer(409, RunState.NOT_RUN, True),
    ErrorKind.NEVER_FITS: Answer(422, RunState.NOT_RUN, False),
    ErrorKind.QUEUE_FULL: Answer(429, RunState.NOT_RUN, True),
    ErrorKind.TOO_LATE: Answer(503, RunState.NOT_RUN, True),
    ErrorKind.CANCELLED: Answer(409, RunState.NOT_RUN, False),
    ErrorKind.DRAINING: Answer(503, RunState.NOT_RUN, True),
    ErrorKind.OVERLOADED: Answer(503, RunState.NOT_RUN, True),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, RunState.NOT_RUN, True),
    ErrorKind.CONFIGURATION_STALE: Answer(503, RunState.NOT_RUN, True),
    ErrorKind.JOB_FAILED: Answer(500, RunState.FAILED, False),
    ErrorKind.RESULT_DAMAGED: Answer(502, RunState.UNKNOWN, False),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, RunState.UNKNOWN, False),
    ErrorKind.INTERNAL: Answer(500, RunState.UNKNOWN, False),
}


class QuetzalError(Exception):
    """Base of every exception that this package raises."""


class RequestError(QuetzalError):
    """An error that is answered to a caller or an operator.

    Attributes:
        kind: The kind, which fixes the HTTP status and the run state.
        message: What was expected, what was found, and where.
        field: The invalid field of the request, if any.
        retry_after_s: Seconds to wait before a retry, if known.
        run: Whether the request ran; the kind's default if not given.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        field: str | None = None,
        retry_after_s: float | None = None,
        run: RunState | None = None,
    ):
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.field = field
        self.retry_after_s = retry_after_s
        self.run = run or ANSWERS[kind].run


class SettingsError(QuetzalError):
    """An invalid settings file; the message names the file and the path."""


class ConfigurationError(QuetzalError):
    """A configuration change that can't be applied."""


class TransportError(QuetzalError):
    """A peer, target or platform service is unreachable or timed out.

    The request may or may not have taken effect at the other end.
    """


class AnswerTimeoutError(TransportError):
    """No answer within the timeout; the other end may be silent for longer."""


class StoreUnavailableError(TransportError):
    """The platform's table service or object store gave no usable answer."""


class StoreRefusedError(StoreUnavailableError):
    """The store rejected the call; it had no effect."""


class HistoryTruncatedError(QuetzalError):
    """The store no longer has the changes after the requested version."""


class ConditionFailedError(QuetzalError):
    """A conditional table write found another version.

    Attributes:
        conflicts: The current rows that did not match, by key.
    """

    def __init__(self, conflicts: dict):
        super().__init__(f"condition failed on {sorted(conflicts)}")
        self.conflicts = conflicts


class FencedError(QuetzalError):
    """This process's registration was fenced or replaced; it must restart."""


class StaleEpochError(QuetzalError):
    """A target rejected a message that belongs to a superseded lease."""


class TargetReplacedError(TransportError):
    """Another target answers at the address of the one that was called."""


class ProtocolError(QuetzalError):
    """A message or a row that does not follow the protocol."""
