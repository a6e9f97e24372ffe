"""Calls to the platform's store, their timeouts and the pauses between them."""

from msgspec import Struct

HISTORY_GONE = 410
"""HTTP status of a watch from a revision that the store does not have."""

ANSWER_MAX_S = 1.8
"""Longest timeout of a watch's answer beyond the watch time, seconds. The
timeout grows with each failure, so that a slow store can answer."""

MIN_WAIT_S = 0.001
"""Watch time of a call that the store shall answer at once, seconds."""

CONFIRM_TIMEOUT_S = 0.5
"""Timeout of a confirmation, seconds. A later answer is of no use: without a
confirmation, a flow that every agent reported absent is reset after 0.7 s."""

SHORT_TIMEOUT_S = 0.2
SHORT_TIMEOUT_CALLS = 2
"""Timeout of a listing while the process has no state, seconds, and how many
consecutive calls have it. A process without state serves no requests, so it
retries soon. The call after these has the longer timeout that a slow store
needs; each call has a cost."""

LISTING_FIRST_S = 0.5
LISTING_MAX_S = 4.0
"""Bounds of the timeout of a listing, seconds. The store answers in 4 ms, or in
0.4 s when it is slow. A listing of 1,600 routes takes 0.7 s over a link of
5 Mbit/s; while its answer is arriving, a call may last up to the upper
bound."""

PAUSE_FIRST_S = 0.1
PAUSE_MAX_S = 1.0
"""Bounds of the back-off after a failed call, seconds; it doubles with each
failure. Refused calls have a cost too. The upper bound of 1 s is a third of
the propagation deadline of a configuration."""

BATCHING_PAUSE_S = 0.25
"""Pause after a watch that returned changes, seconds, so that one call returns
changes that follow each other closely. It is a twelfth of the propagation
deadline of a configuration."""

MAX_DOUBLINGS = 100
"""Most doublings of a time; a float cannot hold the result of 1,024."""


class StoreCall(Struct, frozen=True):
    """A GET request to the store.

    Attributes:
        purpose: Kind of the call, a label in the metrics.
        target: Path and query of the URL.
        timeout_s: Timeout while no part of the answer arrives, seconds.
        total_timeout_s: Timeout of the whole call while its answer is arriving,
            seconds; ``timeout_s`` holds if it is longer.
    """

    purpose: str
    target: str
    timeout_s: float
    total_timeout_s: float = 0.0


def listing_timeout_s(has_state: bool, failures: int) -> float:
    """Returns the timeout of a listing, seconds; it grows with the failures.

    Args:
        has_state: Whether any published state is known.
        failures: Number of consecutive failed calls.
    """
    rounds, call_in_round = divmod(failures, SHORT_TIMEOUT_CALLS + 1)
    if not has_state and call_in_round < SHORT_TIMEOUT_CALLS:
        return SHORT_TIMEOUT_S
    doublings = failures if has_state else rounds
    return _doubled(LISTING_FIRST_S, doublings, LISTING_MAX_S)


def answer_timeout_s(first_s: float, failures: int) -> float:
    """Returns the timeout of an answer beyond the watch time, seconds.

    Args:
        first_s: The timeout after a call that did not fail, seconds.
        failures: Number of consecutive failed calls.
    """
    return _doubled(first_s, failures, ANSWER_MAX_S)


def pause_s(failures: int) -> float:
    """Returns the longest back-off before the next call, seconds.

    Args:
        failures: Number of consecutive failed calls before the last one.
    """
    return _doubled(PAUSE_FIRST_S, failures, PAUSE_MAX_S)


def relisting_pause_s(histories_lost: int) -> float:
    """Returns the longest pause before a listing, seconds.

    Without it, a store that loses the history of each watch would be read
    without any pause.

    Args:
        histories_lost: Number of watches in a row whose history was lost.
    """
    return 0.0 if histories_lost < 2 else pause_s(histories_lost - 2)


def _doubled(first_s: float, times: int, max_s: float) -> float:
    """Returns a time after a number of doublings, at most ``max_s``, seconds.

    Examples:
        >>> _doubled(0.1, 2, 1.0), _doubled(0.1, 5000, 1.0)
        (0.4, 1.0)
    """
    return min(max_s, first_s * 2 ** min(times, MAX_DOUBLINGS))
