"""HTTP exchanges of the command lines with entry processes."""

import random
import typing
from collections.abc import Sequence

import gevent
import geventhttpclient
import geventhttpclient.response
import msgspec

from quetzalswitch import clock as clocks
from quetzalswitch import decoding
from quetzalswitch import exceptions

TIMEOUT_S: typing.Final = 10.0
# Rounds over all addresses; a person waits for the answer.
ROUNDS: typing.Final = 3
BACKOFF_BASE_S: typing.Final = 0.2
BACKOFF_CAP_S: typing.Final = 5.0
MAX_RETRY_AFTER_S: typing.Final = 30.0

_FAILURES: typing.Final = (
    OSError,
    gevent.Timeout,
    geventhttpclient.response.HTTPParseError,
)


class Reply(typing.NamedTuple):
    """Status and decoded body of an answer."""

    status: int
    body: dict


class _Failure(typing.NamedTuple):
    """An exchange without an answer; `sent` is false if nothing was sent."""

    text: str
    sent: bool


class Exchanger:
    """Sends requests to the first entry that answers.

    An exchange moves on to the next address when the connection could not be
    opened, when the answer is a retryable refusal that says "not run", and
    after any other failure only when the caller says that repeating is safe.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        key: str | None,
        clock: clocks.Clock,
        timeout_s: float = TIMEOUT_S,
    ):
        if not addresses:
            raise exceptions.SettingsError("no entry address was given")
        self._addresses = [_parse_address(address) for address in addresses]
        self._key = key
        self._clock = clock
        self._timeout_s = timeout_s
        self._random = random.Random()

    def exchange(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        *,
        repeatable: bool,
        wait_s: float = 0.0,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Returns the answer of the first entry that gives a final one.

        Args:
            method: HTTP method.
            path: Path with query.
            body: Value to send as JSON, if any.
            repeatable: Whether a request that may have been received can be
                sent again without a second effect.
            wait_s: Time that the entry may hold the answer back.
            headers: Further headers.

        Raises:
            RequestError: The entry answered with an error.
            TransportError: No entry gave an answer.
        """
        failure: exceptions.QuetzalError | None = None
        uncertain = False
        for attempt in range(ROUNDS * len(self._addresses)):
            if failure is not None:
                self._pause(attempt, failure)
            address = self._addresses[attempt % len(self._addresses)]
            outcome = self._send(address, method, path, body, wait_s, headers)
            if isinstance(outcome, _Failure):
                uncertain = uncertain or outcome.sent
                failure = exceptions.TransportError(outcome.text)
                if outcome.sent and not repeatable:
                    break
                continue
            failure = _read_error(outcome)
            if failure is None:
                return outcome
            if not _may_move_on(failure):
                break
        assert failure is not None
        raise _qualify(failure, uncertain and method != "GET")

    def _pause(self, attempt: int, failure: Exception) -> None:
        if attempt < len(self._addresses):
            # Another entry may well be able to answer at once.
            return
        turn = attempt // len(self._addresses)
        limit_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2.0**turn)
        hint_s = getattr(failure, "retry_after_s", None) or 0.0
        delay_s = self._random.uniform(0.0, limit_s)
        self._clock.sleep(max(delay_s, min(hint_s, MAX_RETRY_AFTER_S)))

    def _send(
        self,
        address: tuple[str, int],
        method: str,
        path: str,
        body: typing.Any,
        wait_s: float,
        headers: dict[str, str] | None,
    ) -> Reply | _Failure:
        host, port = address
        client = geventhttpclient.HTTPClient(
            host,
            port,
            connection_timeout=self._timeout_s,
            network_timeout=self._timeout_s + wait_s,
        )
        try:
            return self._perform(client, method, path, body, headers)
        except ConnectionRefusedError:
            text = "refused the connection; no entry process listens there"
            return _Failure(f"{host}:{port} {text}", sent=False)
        except _FAILURES as error:
            return _Failure(
                f"{host}:{port} gave no answer within "
                f"{self._timeout_s + wait_s:g} s or closed the connection "
                f"({type(error).__name__}: {error})",
                sent=True,
            )
        finally:
            client.close()

    def _perform(
        self,
        client: geventhttpclient.HTTPClient,
        method: str,
        path: str,
        body: typing.Any,
        headers: dict[str, str] | None,
    ) -> Reply | _Failure:
        sent = {"Accept": "application/json", **(headers or {})}
        if self._key:
            sent["Authorization"] = f"Bearer {self._key}"
        content = b""
        if body is not None:
            content = msgspec.json.encode(body)
            sent["Content-Type"] = "application/json"
        response = client.request(method, path, content, sent)
        text = response.read()
        try:
            plain = decoding.decode(
                msgspec.json.decode, bytes(text), "a JSON body"
            )
        except exceptions.ProtocolError:
            plain = None
        if not isinstance(plain, dict):
            return _Failure(
                f"{client.host}:{client.port} answered status "
                f"{response.status_code} without JSON; is it an entry process?",
                sent=True,
            )
        return Reply(response.status_code, plain)


def _qualify(
    failure: exceptions.QuetzalError, uncertain: bool
) -> exceptions.QuetzalError:
    """Returns the failure to raise.

    When an earlier attempt may have been received, a later entry's "not run"
    says nothing about that attempt.
    """
    if not uncertain:
        return failure
    if not isinstance(failure, exceptions.RequestError):
        return exceptions.TransportError(
            f"{failure}; it is not known whether the request took effect"
        )
    if failure.run is not exceptions.RunState.NOT_RUN:
        return failure
    return exceptions.RequestError(
        failure.kind,
        f"{failure.message}; an earlier attempt may have been received",
        field=failure.field,
        retry_after_s=failure.retry_after_s,
        run=exceptions.RunState.UNKNOWN,
    )


def _may_move_on(failure: exceptions.RequestError) -> bool:
    answer = exceptions.ANSWERS[failure.kind]
    not_run = failure.run is exceptions.RunState.NOT_RUN
    # A version conflict is not the entry's state but the operator's.
    is_conflict = failure.kind is exceptions.ErrorKind.VERSION_CONFLICT
    return answer.retryable and not_run and not is_conflict


def _read_error(reply: Reply) -> exceptions.RequestError | None:
    error = reply.body.get("error")
    if reply.status < 400 or not isinstance(error, dict):
        return None
    try:
        return exceptions.RequestError(
            exceptions.ErrorKind(error["kind"]),
            error["message"],
            field=error.get("field"),
            retry_after_s=error.get("retry_after_s"),
            run=exceptions.RunState(error["run"]),
        )
    except (KeyError, ValueError):
        raise exceptions.TransportError(
            f"status {reply.status} with an unknown error: {error}"
        ) from None


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise exceptions.SettingsError(
            f"entry address: expected host:port, found {address!r}"
        )
    return host.strip("[]"), int(port)
