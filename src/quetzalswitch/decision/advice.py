"""Assigns calls to the advice service to entry VMs.

The service processes one call at a time for each calling VM. A call for a
low-priority queue takes 0.5 s, a call for urgent work 10 ms. Half of the VMs
never make long calls, so that urgent calls don't queue behind them; while
advice is scarce it is a fifth.
"""

import math
import typing

from quetzalswitch.acceptance import catalogue

# Calls of at least this duration are never assigned to half of the VMs.
LONG_CALL_S: typing.Final = 0.05
# A VM whose call failed gets no new call for this long.
FAILURE_PAUSE_S: typing.Final = 2.0
# Longest backlog of calls on a VM; further calls wait for the next pass.
BACKLOG_LIMIT_S: typing.Final = 1.2
SHORT_BACKLOG_LIMIT_S: typing.Final = 0.2
# Bounds of the number of targets in a call; enough to find free capacity for
# the widest usual step.
TARGETS_MIN_COUNT: typing.Final = 12
TARGETS_MAX_COUNT: typing.Final = 100
# Assumed share of targets that a policy allows before the first answer.
DEFAULT_ALLOWED_SHARE: typing.Final = 0.4
ALLOWED_SHARE_SMOOTHING: typing.Final = 0.1
# Advice is scarce if the longest call takes more than this share of the time
# for which tickets are valid.
SCARCE_SHARE: typing.Final = 0.5
# Share of the VMs that never make long calls while advice is scarce, and their
# least number. Short calls take a tenth of a VM's time for each VM.
SHORT_SHARE: typing.Final = 0.2
SHORT_MIN_COUNT: typing.Final = 2
# Longest backlog while advice is scarce: a call that is decided later names
# targets by the room that is left then.
SCARCE_BACKLOG_LIMIT_S: typing.Final = 0.4


class AdviceRequest(typing.NamedTuple):
    """A call to the advice service, assigned to one entry VM."""

    adviser: str
    stage_key: str
    target_ids: list[str]
    expected_s: float


def estimate_call_s(policy: catalogue.AdvicePolicy, targets: int) -> float:
    """Returns the duration of a call on so many targets (s)."""
    return (policy.base_ms + policy.per_target_ms * targets) / 1000


def is_scarce(policy: catalogue.AdvicePolicy) -> bool:
    """Returns whether calls are long compared with the validity of tickets."""
    longest_s = estimate_call_s(policy, TARGETS_MAX_COUNT)
    return longest_s > SCARCE_SHARE * policy.valid_ms / 1000


class Advisers:
    """The entry VMs that can call the service, and their backlogs.

    Attributes:
        scarce: Whether a policy in force makes advice scarce. Then more VMs
            make long calls, with shorter backlogs.
    """

    def __init__(self) -> None:
        self._busy_until_s: dict[str, float] = {}
        self._paused_until_s: dict[str, float] = {}
        self._allowed_share: dict[str, float] = {}
        self.scarce = False

    def set_members(self, names: typing.Iterable[str]) -> None:
        """Replaces the list of entry VMs that can make calls."""
        names = set(names)
        for name in list(self._busy_until_s):
            if name not in names:
                del self._busy_until_s[name]
        for name in names:
            self._busy_until_s.setdefault(name, 0.0)

    def estimate_allowed_share(self, queue_name: str) -> float:
        """Returns the estimated share of targets that a policy allows."""
        return self._allowed_share.get(queue_name, DEFAULT_ALLOWED_SHARE)

    def record_answer(self, queue_name: str, asked: int, allowed: int) -> None:
        """Updates the share of targets that a queue's policy allows."""
        if not asked:
            return
        old = self.estimate_allowed_share(queue_name)
        share = old + ALLOWED_SHARE_SMOOTHING * (allowed / asked - old)
        self._allowed_share[queue_name] = max(share, 0.05)

    def record_failure(self, adviser: str, now_s: float) -> None:
        """Pauses calls by a VM whose call failed."""
        self._paused_until_s[adviser] = now_s + FAILURE_PAUSE_S
        if adviser in self._busy_until_s:
            self._busy_until_s[adviser] = now_s

    def assign(
        self, policy: catalogue.AdvicePolicy, targets: int, now_s: float
    ) -> tuple[str, float] | None:
        """Reserves the least busy VM for a call.

        Returns:
            Its name and the expected time until the answer (s), or None if
            every VM's backlog is too long.
        """
        call_s = estimate_call_s(policy, targets)
        names = sorted(
            name
            for name in self._busy_until_s
            if self._paused_until_s.get(name, 0.0) <= now_s
        )
        limit_s = SHORT_BACKLOG_LIMIT_S
        if call_s >= LONG_CALL_S:
            names = names[: self._count_long(len(names))]
            limit_s = SCARCE_BACKLOG_LIMIT_S if self.scarce else BACKLOG_LIMIT_S
        elif len(names) > 1:
            names = names[(len(names) + 1) // 2 :] + names[:1]
        if not names:
            return None
        best = min(names, key=self._busy_until_s.__getitem__)
        begin_s = max(self._busy_until_s[best], now_s)
        if begin_s - now_s > limit_s:
            return None
        self._busy_until_s[best] = begin_s + call_s
        return best, begin_s + call_s - now_s

    def _count_long(self, count: int) -> int:
        """Returns how many of so many VMs make long calls."""
        half = (count + 1) // 2
        if not self.scarce:
            return half
        short = max(SHORT_MIN_COUNT, math.ceil(SHORT_SHARE * count))
        return max(half, count - short)
