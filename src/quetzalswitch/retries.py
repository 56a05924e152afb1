"""Retry budget, backoff and deadlines; every retry must be granted here."""

import random
import typing

from quetzalswitch import clock as clocks
from quetzalswitch import schema

BUDGET_RATIO = 0.1
BUDGET_START = 10.0
# Caps the accumulated tokens, so that a long period without failures can't
# fund a retry storm.
BUDGET_MAX = 1000.0
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 5.0


class Options(typing.NamedTuple):
    """Budget and backoff.

    Attributes:
        ratio: Retries earned by each first attempt.
        start: Retries allowed before any first attempt.
        base_s: Upper bound of the first delay is twice this, in seconds.
        cap_s: Upper bound of every delay, in seconds.
    """

    ratio: float = BUDGET_RATIO
    start: float = BUDGET_START
    base_s: float = BACKOFF_BASE_S
    cap_s: float = BACKOFF_CAP_S


def make_options(settings: schema.Retries) -> Options:
    """Returns the options from the settings."""
    return Options(
        settings.budget_ratio,
        settings.budget_initial_count,
        settings.backoff_base_s,
        settings.backoff_cap_s,
    )


class Retries:
    """Decides whether and when a retry is made.

    A token bucket: a retry costs one token and each first attempt earns a
    tenth of one, so that retries stay near a tenth of the load at any failure
    rate.

    Args:
        clock: Source of time.
        seed: Seed of the random delays, for tests.
        options: Budget and bounds of the delays.

    Attributes:
        made: Number of retries granted.
        denied: Number of retries refused because the budget was used up.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        seed: int | None = None,
        options: Options | None = None,
    ):
        self.options = options or Options()
        self.made = 0
        self.denied = 0
        self._clock = clock
        self._random = random.Random(seed)
        self._tokens = self.options.start

    @property
    def tokens(self) -> float:
        """Number of tokens, that is, of retries that the budget allows now."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Adds the tokens earned by a first attempt to the budget."""
        self._tokens = min(BUDGET_MAX, self._tokens + self.options.ratio)

    def next_delay_s(
        self, retry: int, deadline_s: float | None = None
    ) -> float | None:
        """Returns the delay before a retry, or None if none is allowed.

        Args:
            retry: Number of the retry, from 1.
            deadline_s: Clock time after which a retry is useless.
        """
        if self._tokens < 1.0:
            self.denied += 1
            return None
        limit_s = min(
            self.options.cap_s, self.options.base_s * 2.0 ** min(retry, 16)
        )
        delay_s = self._random.uniform(0.0, limit_s)
        if deadline_s is not None and (
            self._clock.now() + delay_s >= deadline_s
        ):
            return None
        self._tokens -= 1.0
        self.made += 1
        return delay_s


def remaining_s(clock: clocks.Clock, deadline_s: float | None) -> float | None:
    """Returns the seconds until a deadline, or None if there is none."""
    if deadline_s is None:
        return None
    return max(0.0, deadline_s - clock.now())


def local_deadline_s(
    clock: clocks.Clock, remaining: float | None
) -> float | None:
    """Converts the remaining seconds from a message to a local deadline."""
    return None if remaining is None else clock.now() + remaining
