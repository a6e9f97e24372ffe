"""Uninterrupted time in a role, and detection of pauses of the process."""

import attrs


@attrs.define
class Tenure:
    """Tells when a key that is unknown to a node can be taken for new.

    A node that has just taken a role, or that was paused, cannot distinguish
    a new key from one that is in use and was not reported to it. After a whole
    idle timeout of the keys it can.

    Examples:
        >>> tenure = Tenure(needed_s=30.0, since=100.0)
        >>> tenure.is_long_enough(120.0), tenure.is_long_enough(131.0)
        (False, True)

    Attributes:
        needed_s: Time in the role after which an unknown key is new, seconds.
        since: Runtime clock when the role was taken, seconds.
    """

    needed_s: float
    since: float

    def is_long_enough(self, now: float) -> bool:
        """Tells whether the role has been held long enough."""
        return now - self.since > self.needed_s

    def restart(self, now: float) -> None:
        """Restarts the time, after a pause or a change of the set of nodes."""
        self.since = now


@attrs.define
class PauseDetector:
    """Detects pauses of the process by gaps between its ticks.

    After a pause the state of the process may be out of date. Ticks come
    several times per second, so a longer gap between two of them reveals a
    pause.

    Examples:
        >>> detector = PauseDetector(threshold_s=1.0)
        >>> [detector.observe(now) for now in (0.0, 0.2, 5.0)]
        [0.0, 0.0, 4.8]

    Attributes:
        threshold_s: Shortest gap that counts as a pause, seconds.
        last: Runtime clock at the last observation, seconds; None before it.
    """

    threshold_s: float
    last: float | None = None

    def observe(self, now: float) -> float:
        """Records a tick; returns the length of the pause, 0.0 if none."""
        gap = 0.0 if self.last is None else now - self.last
        self.last = now
        return gap if gap > self.threshold_s else 0.0
