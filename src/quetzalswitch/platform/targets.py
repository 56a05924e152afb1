"""Clients of a target's task interface and of the advice service."""

import typing

import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import decoding
from quetzalswitch import exceptions
from quetzalswitch.execution import protocol
from quetzalswitch.storage import connections

# For bursts of starts, in addition to the long poll; targets accept 64
# connections.
MAX_CONNECTIONS: typing.Final = 3
# A target lists at most this number of ends in one answer.
LISTED_ENDS_LIMIT: typing.Final = 500
# Times and numbers of runs; they must fit into the 64 bits of a request.
MAX_NUMBER: typing.Final = 2**53
_Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Amount = _Number | typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]

Body = typing.TypeVar("Body")


class _Answer(msgspec.Struct):
    clock_ms: _Number = 0
    reason: str = ""


class _Advice(msgspec.Struct):
    allowed: list[tuple[str, str]] = []
    valid_ms: _Amount | None = None


class _Running(typing.NamedTuple):
    task: str
    run: _Number
    checkpoint: str
    percent: _Amount
    # The tail latency of a serving task, or the processor use of another one.
    load: _Amount = 0


class _Ended(typing.NamedTuple):
    number: _Number
    task: str
    run: _Number
    end: protocol.EndReason
    checkpoint: str


class _LeaseAnswer(msgspec.Struct):
    clock_ms: _Number = 0
    born: _Number = 0
    running: list[_Running] = []
    ended: list[_Ended] = []


_LEASE_ANSWER: typing.Final = msgspec.json.Decoder(_LeaseAnswer)
_ANSWER: typing.Final = msgspec.json.Decoder(_Answer)
_ADVICE: typing.Final = msgspec.json.Decoder(_Advice)

_REJECTIONS: typing.Final = {
    "fence": protocol.Rejection.FENCED,
    "old": protocol.Rejection.STALE_RUN,
    "late": protocol.Rejection.LEASE_PASSED,
    "room": protocol.Rejection.NO_CAPACITY,
    "ticket": protocol.Rejection.INVALID_TICKET,
}


class TargetClient:
    """Client of one target."""

    def __init__(self, target_id: str, address: str, clock: clocks.Clock):
        self._headers = {
            "Content-Type": "application/json",
            "X-Expect-Instance": target_id,
        }
        # Long polls use a pool of their own, so that a failed start doesn't
        # close their connection. After a failed poll the idle connections of
        # other calls may be silent too and are closed.
        self._polls = connections.ConnectionPool(
            address, clock, max_connections=1
        )
        self._calls = connections.ConnectionPool(
            address, clock, max_connections=MAX_CONNECTIONS
        )

    def start(
        self, command: protocol.StartCommand, timeout_s: float
    ) -> protocol.CommandAnswer:
        """Starts a task.

        Raises:
            ConnectionRefusedError: The target refused the connection; the task
                wasn't started.
            TransportError: The task may have started, or may still start.
        """
        body = {
            "task": command.task,
            "run": command.run,
            "spec": command.spec,
            "deadline_ms": command.lease_until_ms,
            "fencing_token": command.fencing_token,
        }
        if command.checkpoint:
            body["checkpoint"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        return self._send_command("/-/run-start", body, timeout_s)

    def stop(
        self, task: str, run: int, fencing_token: int, timeout_s: float
    ) -> protocol.CommandAnswer:
        """Stops a task; its end is listed once its resources are free.

        Raises:
            TransportError: The effect is unknown.
        """
        body = {"task": task, "run": run, "fencing_token": fencing_token}
        return self._send_command("/-/run-stop", body, timeout_s)

    def renew_leases(
        self, command: protocol.RenewCommand, timeout_s: float
    ) -> protocol.RenewAnswer:
        """Renews the leases of a target and returns its running tasks.

        Raises:
            StaleEpochError: The target has accepted a newer epoch.
            TargetReplacedError: Another target answers at this address.
            TransportError: No usable answer.
        """
        body = {
            "fencing_token": command.fencing_token,
            "ack_cursor": command.acknowledged,
            "wait_ms": int(command.wait_s * 1000),
        }
        if command.lease_until_ms:
            body["deadline_ms"] = command.lease_until_ms
        pool = self._polls if command.wait_s else self._calls
        answer = self._exchange(pool, "/-/hold", body, timeout_s)
        if answer.status == 409:
            raise exceptions.StaleEpochError(
                "the target has accepted a newer epoch"
            )
        if answer.status == 421:
            raise exceptions.TargetReplacedError(
                "another target answers at this address"
            )
        if answer.status != 200:
            raise exceptions.TransportError(
                f"renewing leases: status {answer.status}"
            )
        plain = _decode(_LEASE_ANSWER, answer)
        return protocol.RenewAnswer(
            clock_ms=plain.clock_ms,
            boot_ms=plain.born,
            running=[protocol.RunningRun(*row) for row in plain.running],
            ended=[protocol.EndedRun(*row) for row in plain.ended],
            complete=len(plain.ended) < LISTED_ENDS_LIMIT,
        )

    def close(self) -> None:
        """Closes all connections; calls that wait for one are not sent."""
        self._polls.shut_down()
        self._calls.shut_down()

    def _send_command(
        self, path: str, body: dict, timeout_s: float
    ) -> protocol.CommandAnswer:
        answer = self._exchange(self._calls, path, body, timeout_s)
        clock_ms = 0
        if answer.status == 200:
            if answer.body:
                clock_ms = _decode(_ANSWER, answer).clock_ms
            return protocol.CommandAnswer(None, clock_ms)
        if answer.status == 409:
            plain = _decode(_ANSWER, answer)
            rejection = _REJECTIONS.get(plain.reason, protocol.Rejection.OTHER)
            return protocol.CommandAnswer(rejection, plain.clock_ms)
        if answer.status in (429, 503):
            return protocol.CommandAnswer(protocol.Rejection.UNHEALTHY, 0)
        if answer.status == 421:
            return protocol.CommandAnswer(
                protocol.Rejection.TARGET_RESTARTED, 0
            )
        return protocol.CommandAnswer(protocol.Rejection.OTHER, 0)

    def _exchange(
        self,
        pool: connections.ConnectionPool,
        path: str,
        body: dict,
        timeout_s: float,
    ) -> connections.HttpAnswer:
        try:
            return pool.exchange(
                "POST",
                path,
                msgspec.json.encode(body),
                timeout_s,
                headers=self._headers,
            )
        except exceptions.StoreUnavailableError as error:
            if pool is self._polls:
                self._calls.close_idle()
            if isinstance(error.__cause__, ConnectionRefusedError):
                raise error.__cause__ from None
            if error.__cause__ is None:
                raise exceptions.AnswerTimeoutError(str(error)) from error
            raise exceptions.TransportError(str(error)) from error


class AdviceClient:
    """Client of the placement advice service."""

    def __init__(self, address: str, clock: clocks.Clock):
        # The service handles one call at a time for each VM that calls it.
        self._pool = connections.ConnectionPool(
            address, clock, max_connections=2
        )

    def request_advice(
        self, step: str, target_ids: list[str], timeout_s: float
    ) -> protocol.AdviceAnswer:
        """Returns which of the targets may run a step, with their tickets.

        Raises:
            TransportError: No usable answer.
        """
        body = msgspec.json.encode({"step": step, "workers": target_ids})
        headers = {"Content-Type": "application/json"}
        try:
            answer = self._pool.exchange(
                "POST", "/-/advise", body, timeout_s, headers=headers
            )
        except exceptions.StoreUnavailableError as error:
            raise exceptions.TransportError(str(error)) from error
        if answer.status != 200:
            raise exceptions.TransportError(
                f"placement advice: status {answer.status}"
            )
        plain = _decode(_ADVICE, answer)
        valid_s = None if plain.valid_ms is None else plain.valid_ms / 1000
        return protocol.AdviceAnswer(dict(plain.allowed), valid_s)


def _decode(
    decoder: msgspec.json.Decoder[Body], answer: connections.HttpAnswer
) -> Body:
    try:
        return decoding.decode(
            decoder.decode, answer.body, "an answer to a request"
        )
    except exceptions.ProtocolError as error:
        raise exceptions.TransportError(str(error)) from error
