"""Calls to the platform's store, and how long each may take."""

from msgspec import Struct

HISTORY_GONE = 410
"""Status of a watch from a revision that the store does not have."""

ANSWER_MAX_S = 1.8
"""Longest time for an answer beyond a watch's time, seconds: a store whose
answers come late is waited for longer after each failure."""

LEAST_WAIT_S = 0.001
"""A watch from which an answer is wanted at once."""

CONFIRM_TIMEOUT_S = 0.5
"""A confirmation that takes longer than this helps nobody, seconds: without it
the decision falls 0.7 s after the question."""

QUICK_S = 0.2
QUICK_TRIES = 2
"""A process that knows nothing serves nobody: where nothing comes it asks anew
so soon, seconds. Each third call is given the time that a slow store needs;
calls are priced."""

LISTING_FIRST_S = 0.5
LISTING_MAX_S = 4.0
"""Bounds of the time for a listing. The store answers in 4 ms, in 0.4 s when
slow; 1,600 routes take 0.7 s over a link of 5 Mbit/s, and are waited for while
they come in."""

PAUSE_FIRST_S = 0.1
PAUSE_MAX_S = 1.0
"""Bounds of the pause after a failed call, which doubles. Refused calls are
priced; a second is a third of the bound of a configuration."""

GATHER_S = 0.25
"""Pause after a watch that told something, so that one call tells what comes
in quick succession; a twelfth of the bound of a configuration."""


class StoreCall(Struct, frozen=True):
    """A call to be made.

    Attributes:
        purpose: What it is for, for the metrics.
        target: Path and query.
        timeout_s: How long nothing may come, seconds.
        most_s: How long it may take while its answer comes in, seconds.
    """

    purpose: str
    target: str
    timeout_s: float
    most_s: float = 0.0


def listing_timeout_s(knows: bool, failures: int) -> float:
    """Returns how long a listing may take; patience grows with failures.

    Args:
        knows: Anything published is known.
        failures: Failed calls in a row.
    """
    patient, quick = divmod(failures, QUICK_TRIES + 1)
    if not knows and quick < QUICK_TRIES:
        return QUICK_S
    doublings = failures if knows else patient
    return min(LISTING_MAX_S, LISTING_FIRST_S * 2**doublings)


def answer_timeout_s(first_s: float, failures: int) -> float:
    """Returns how long an answer may take beyond a watch's time, seconds.

    Args:
        first_s: How long after a call that did not fail, seconds.
        failures: Failed calls in a row.
    """
    return min(ANSWER_MAX_S, first_s * 2**failures)


def pause_s(failures: int) -> float:
    """Returns the longest pause before the next call, seconds.

    Args:
        failures: Failed calls in a row, without the last one.
    """
    return min(PAUSE_MAX_S, PAUSE_FIRST_S * 2**failures)
