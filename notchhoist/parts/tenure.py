"""Tenure: how long a node has held a role without a break."""

import attrs


@attrs.define
class Tenure:
    """Says when "I have not heard of it" means "it does not exist".

    A node that has just taken a role, or that was paused, cannot tell a new
    key from one it never heard of; only after the keys' whole idle timeout
    can it.

    Examples:
        >>> tenure = Tenure(needed_s=30.0, since=100.0)
        >>> tenure.holds(120.0), tenure.holds(131.0)
        (False, True)

    Attributes:
        needed_s: Time after which the role is firm, seconds.
        since: Runtime clock when the role was taken, seconds.
    """

    needed_s: float
    since: float

    def holds(self, now: float) -> bool:
        """Tells whether the role has been held long enough."""
        return now - self.since > self.needed_s

    def restart(self, now: float) -> None:
        """Begins anew, as after a pause or a change of the node set."""
        self.since = now


@attrs.define
class PauseDetector:
    """Finds gaps in the node's own clock.

    A process that was stopped and woken still believes old facts. Ticks come
    every fraction of a second, so a longer gap between two of them shows it.

    Examples:
        >>> detector = PauseDetector(threshold_s=1.0)
        >>> [detector.observe(now) for now in (0.0, 0.2, 5.0)]
        [0.0, 0.0, 4.8]

    Attributes:
        threshold_s: Shortest gap that counts as a pause, seconds.
        last: Runtime clock at the last observation, or None.
    """

    threshold_s: float
    last: float | None = None

    def observe(self, now: float) -> float:
        """Notes the time and returns the gap, 0.0 where there is none."""
        gap = 0.0 if self.last is None else now - self.last
        self.last = now
        return gap if gap > self.threshold_s else 0.0
