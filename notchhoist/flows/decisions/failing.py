"""How well a backend server answers, judged by the times of its answers.

What an answer says is for the two ends of the flow only. But a server that
fails requests while its health check is good answers them much sooner than it
answers others, or resets them, or never answers: that can be seen. Such a
server would otherwise look fast and free, and draw ever more flows.
"""

from msgspec import Struct, field

HASTY_SHARE = 0.25
"""An answer that took less than this share of the usual time is taken for a
failure. Service times that spread like a lognormal distribution with a sigma of
0.5 are that short in 0.6% of all cases; failures on the deployments of today
take 0.02 to 0.2 of the usual time."""

RISE_GAIN = 0.3
FALL_GAIN = 0.05
"""Weights of a longer and a shorter time in the usual one. It leans to the long
side, so that failures do not pass for usual where half of the requests fail."""

FAILING_GAIN = 0.1
"""Weight of one answer in the share of failures: about the last 20 answers."""

RESET_GAIN = 0.25
"""The same of a request that the server has reset while it was open: one is
enough to log it and to try the server with few, since servers that are well
close flows between requests only."""

FAILING_POWER = 3
"""A server that fails a share f of its requests is counted as slower by
(1 - f) to this power: at f = 0.5 it gets an eighth of the new flows, enough to
notice that it is well again."""

FAILING_MAX = 0.8
"""More is not believed, so that a server never vanishes altogether."""

FAILING_FROM = 0.25
FAILING_UNTIL = 0.1
"""Shares at which it is logged that a server fails, and that it no longer does;
chance alone brings 0.05."""

KEYS_MAX = 2000
"""Service addresses with a usual time; the deployments have 450 routes."""


class AnswerTimes(Struct, eq=False):
    """Judges a backend server's answers.

    Attributes:
        usual_s: Usual time from the end of a request to its answer, seconds,
            by the key of the service address.
        failing: Smoothed share of the requests that failed.
        is_failing: That share was last logged as high.
    """

    usual_s: dict[bytes, float] = field(default_factory=dict)
    failing: float = 0.0
    is_failing: bool = False

    def note_answer(self, service_key: bytes, elapsed_s: float) -> bool:
        """Takes account of an answer.

        Examples:
            >>> times = AnswerTimes()
            >>> [times.note_answer(b"feed", took_s) for took_s in (0.05, 0.002)]
            [True, False]

        Returns:
            Whether it is taken for a good one.
        """
        usual_s = self.usual_s.get(service_key)
        if usual_s is None:
            if len(self.usual_s) < KEYS_MAX:
                self.usual_s[service_key] = elapsed_s
            return self._note(True)
        gain = RISE_GAIN if elapsed_s > usual_s else FALL_GAIN
        self.usual_s[service_key] = usual_s + gain * (elapsed_s - usual_s)
        return self._note(elapsed_s >= HASTY_SHARE * usual_s)

    def note_failure(self, by_reset: bool = False) -> None:
        """Takes account of a request that was reset or never answered.

        Args:
            by_reset: The server has reset its open flow.
        """
        self._note(False, RESET_GAIN if by_reset else FAILING_GAIN)

    def _note(self, good: bool, gain: float = FAILING_GAIN) -> bool:
        self.failing += gain * ((not good) - self.failing)
        return good

    def slowdown(self) -> float:
        """Returns by which factor the server counts as slower.

        Examples:
            >>> AnswerTimes(failing=0.5).slowdown()
            8.0
        """
        good = 1.0 - min(self.failing, FAILING_MAX)
        return good**-FAILING_POWER

    def news(self) -> str:
        """Returns what is to be logged of a change, or an empty text."""
        if not self.is_failing and self.failing >= FAILING_FROM:
            self.is_failing = True
            return "failing"
        if self.is_failing and self.failing <= FAILING_UNTIL:
            self.is_failing = False
            return "well again"
        return ""
