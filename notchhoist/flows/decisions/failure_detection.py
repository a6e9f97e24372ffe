"""Detects failing backend servers by the times of their answers.

The content of an answer is opaque to the balancer. But a server that fails
requests while its health check passes answers them much sooner than others,
resets them or never answers, and these signs are visible. Without this
detection such a server would look fast and idle, and attract ever more flows.
"""

from msgspec import Struct, field

TOO_QUICK_SHARE = 0.25
"""An answer that took less than this share of the typical time counts as a
failure. Of service times with a lognormal distribution and a sigma of 0.5, 0.6%
are that short; failures in current deployments take 0.02 to 0.2 of the typical
time."""

TYPICAL_RISE_GAIN = 0.3
TYPICAL_FALL_GAIN = 0.05
"""Weights of a longer and a shorter time in the typical time. The typical time
is biased towards long ones, so that quick failures do not become typical where
half of the requests fail."""

FAILING_GAIN = 0.1
"""Weight of one answer in the smoothed share of failures, which follows about
the last 20 answers."""

RESET_GAIN = 0.25
"""The same for a request whose open flow the server has reset. One is enough to
log the server as failing and to send it few flows, since healthy servers close
flows only between requests."""

SLOWDOWN_EXPONENT = 3
"""A server that fails a share f of its requests counts as slower by a factor of
1 / (1 - f) to this power. At f = 0.5 it gets an eighth of the new flows, enough
to notice when it recovers."""

FAILING_SHARE_MAX = 0.8
"""Upper bound of the share of failures that counts, so that a server always
gets some flows."""

FAILING_ON_SHARE = 0.25
FAILING_OFF_SHARE = 0.1
"""Shares of failures at which a server is logged as failing and as recovered;
random variation alone reaches 0.05."""

SERVICE_KEYS_MAX = 2000
"""Most service addresses with a typical time; deployments have 450 routes."""


class AnswerTimes(Struct, eq=False):
    """Estimates how many requests a backend server fails.

    Attributes:
        typical_s: Typical time from the end of a request to its answer,
            seconds, by the key of the service address.
        failing: Smoothed share of the requests that failed.
        is_failing: The server was last logged as failing.
    """

    typical_s: dict[bytes, float] = field(default_factory=dict)
    failing: float = 0.0
    is_failing: bool = False

    def note_answer(self, service_key: bytes, elapsed_s: float) -> bool:
        """Records an answer and classifies it as success or failure.

        Examples:
            >>> times = AnswerTimes()
            >>> [times.note_answer(b"feed", took_s) for took_s in (0.05, 0.002)]
            [True, False]

        Args:
            service_key: Key of the service address.
            elapsed_s: Time from the end of the request, seconds.

        Returns:
            Whether the answer counts as a success.
        """
        typical_s = self.typical_s.get(service_key)
        if typical_s is None:
            if len(self.typical_s) < SERVICE_KEYS_MAX:
                self.typical_s[service_key] = elapsed_s
            return self._record(True)
        gain = TYPICAL_RISE_GAIN if elapsed_s > typical_s else TYPICAL_FALL_GAIN
        self.typical_s[service_key] = typical_s + gain * (elapsed_s - typical_s)
        return self._record(elapsed_s >= TOO_QUICK_SHARE * typical_s)

    def note_failure(self, by_reset: bool = False) -> None:
        """Records a request that was reset or never answered.

        Args:
            by_reset: The server has reset the open flow of the request.
        """
        self._record(False, RESET_GAIN if by_reset else FAILING_GAIN)

    def _record(self, success: bool, gain: float = FAILING_GAIN) -> bool:
        self.failing += gain * ((not success) - self.failing)
        return success

    def slowdown(self) -> float:
        """Returns the factor by which the server counts as slower.

        Examples:
            >>> AnswerTimes(failing=0.5).slowdown()
            8.0
        """
        success_share = 1.0 - min(self.failing, FAILING_SHARE_MAX)
        return success_share**-SLOWDOWN_EXPONENT

    def pop_state_change(self) -> str:
        """Updates ``is_failing`` and returns the outcome to log.

        Returns:
            The outcome; empty if ``is_failing`` has not changed.
        """
        if not self.is_failing and self.failing >= FAILING_ON_SHARE:
            self.is_failing = True
            return "failing"
        if self.is_failing and self.failing <= FAILING_OFF_SHARE:
            self.is_failing = False
            return "well again"
        return ""
