"""Collects the outcomes of a request's attempts and checks whole answers."""

import json
import typing

from quetzalswitch import exceptions
from quetzalswitch import logs
from quetzalswitch import records

RUNNING = "running"


class Part(typing.NamedTuple):
    """One attempt of a request as its home knows it.

    Attributes:
        target_id: Where the attempt was sent.
        outcome: "running" until it has ended.
        result: Its result once it has finished.
    """

    target_id: str
    outcome: str
    result: records.Result | None = None


class Collector:
    """The attempts of one request, several at once for a gang.

    A round is one start of the request. Attempts of an earlier round are late:
    they are acknowledged, but count only if they bring a good result for a
    request with a single task that has none yet.
    """

    def __init__(self, task_count: int):
        self._task_count = task_count
        self._parts: dict[str, Part] = {}
        self.late = 0

    def begin(
        self, attempt_ids: typing.Sequence[str], target_ids: typing.Sequence
    ) -> None:
        """Opens a round, unless these attempts are known already."""
        if all(attempt_id in self._parts for attempt_id in attempt_ids):
            return
        known = {} if len(attempt_ids) >= self._task_count else self._parts
        pairs = zip(attempt_ids, target_ids, strict=True)
        fresh = {attempt: Part(target, RUNNING) for attempt, target in pairs}
        self._parts = {**known, **fresh}

    def end(self, outcome: str, result: records.Result, target_id: str) -> bool:
        """Records the end of an attempt.

        Returns:
            False if the attempt is late and its outcome must be ignored.
        """
        part = self._parts.get(result.attempt_id)
        good = outcome == "finished" and result.ok
        if (
            part is None
            and self._parts
            and not (good and self._task_count == 1)
        ):
            self.late += 1
            return False
        if part is not None and part.outcome == "finished":
            self.late += 1
            return False
        kept = result if outcome == "finished" else None
        self._parts[result.attempt_id] = Part(target_id, outcome, kept)
        return True

    def clear(self) -> None:
        """Closes the round after all of its attempts have ended."""
        self._parts = {}

    def running(self) -> list[str]:
        """Returns the IDs of attempts that have not ended."""
        parts = self._parts.items()
        return [key for key, part in parts if part.outcome == RUNNING]

    def targets(self) -> dict[str, str]:
        """Returns the target of each attempt of the round."""
        return {key: part.target_id for key, part in self._parts.items()}

    def is_broken(self) -> bool:
        """Tells whether a task of the round has ended without a good result."""
        return any(
            part.outcome != RUNNING
            and not (part.result is not None and part.result.ok)
            for part in self._parts.values()
        )

    def outcomes(self) -> set[str]:
        """Returns the set of outcomes of the round."""
        return {part.outcome for part in self._parts.values()}

    def failure(self) -> tuple[str, str] | None:
        """Returns target and error of an attempt whose task failed, if any."""
        for part in self._parts.values():
            if part.result is not None and not part.result.ok:
                return part.target_id, part.result.error
        return None

    def result(self) -> records.Result | None:
        """Returns the result of the request once all tasks are good."""
        good = [
            part.result
            for part in self._parts.values()
            if part.result is not None and part.result.ok
        ]
        if len(good) < self._task_count:
            return None
        if self._task_count == 1:
            return good[0]
        return _join(good)


def _join(results: list[records.Result]) -> records.Result:
    """Returns one result with the tasks' outputs as a JSON list."""
    parts = [
        {"object": result.object_key, "length": result.length_bytes}
        if result.object_key
        else result.body
        for result in results
    ]
    body = json.dumps(parts)
    data = body.encode()
    return records.Result(
        attempt_id=results[0].attempt_id,
        ok=True,
        body=body,
        length_bytes=len(data),
        digest=records.digest_body(data),
    )


def check_body(result: records.Result, body: bytes) -> bytes:
    """Returns the body if it is whole.

    Raises:
        RequestError: Length or digest differ from what the target declared.
    """
    if len(body) != result.length_bytes:
        logs.write("result_damaged", attempt=result.attempt_id)
        raise exceptions.RequestError(
            exceptions.ErrorKind.RESULT_DAMAGED,
            f"expected a result of {result.length_bytes} bytes, "
            f"found {len(body)}",
            run=exceptions.RunState.UNKNOWN,
        )
    if records.digest_body(body) != result.digest:
        logs.write("result_damaged", attempt=result.attempt_id)
        raise exceptions.RequestError(
            exceptions.ErrorKind.RESULT_DAMAGED,
            "the digest of the result differs from the declared one",
            run=exceptions.RunState.UNKNOWN,
        )
    return body
