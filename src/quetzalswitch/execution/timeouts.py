"""Timeouts of calls to a target, by how long it takes to answer."""

import typing

# Targets answer commands within a few milliseconds. If a start only takes
# longer, the next lease renewal shows that it took effect.
SHORTEST_S: typing.Final = 0.35
# Shorter than a lease, so that a start is given up before what runs has ended.
LONGEST_S: typing.Final = 3.0
# As for TCP's retransmission timer (RFC 6298).
MEAN_GAIN: typing.Final = 1 / 8
DEVIATION_GAIN: typing.Final = 1 / 4
DEVIATIONS: typing.Final = 4


class CallTimeout:
    """The timeout of calls to one target.

    A call that is given up too early costs more than a late answer: the start
    is fenced off and repeated elsewhere, which adds to the load that delayed
    the answer.

    Attributes:
        value_s: The timeout of the next command in seconds.
        answered_s: The same, without regard to commands that got no answer. A
            target that was cut off must be asked again soon.
    """

    def __init__(self):
        self.value_s = SHORTEST_S
        self.answered_s = SHORTEST_S
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def record_answer(self, duration_s: float) -> None:
        """Applies how long the target took for an answer."""
        if self._mean_s is None:
            self._mean_s = duration_s
            self._deviation_s = duration_s / 2
        else:
            error_s = duration_s - self._mean_s
            self._mean_s += MEAN_GAIN * error_s
            self._deviation_s += DEVIATION_GAIN * (
                abs(error_s) - self._deviation_s
            )
        limit_s = self._mean_s + DEVIATIONS * self._deviation_s
        self.answered_s = min(LONGEST_S, max(SHORTEST_S, limit_s))
        self.value_s = self.answered_s

    def record_timeout(self) -> None:
        """Doubles the timeout of commands until the target answers."""
        self.value_s = min(LONGEST_S, 2 * self.value_s)
