"""Revisions of what the platform publishes, ordered over its restores.

The platform counts its changes, and each count is a revision. When its store
comes back from a copy, counts are given out again, to other changes: what was
known at 63 and what 63 tells now have nothing to do with each other. So a
revision here is a count within an era, and any revision of a later era is after
all of an earlier one. Compared by their counts alone, what the platform wrote
after a restore looked old, and two leaving servers kept getting new flows.

A revision is one whole number, so that it can be compared, logged and kept as
such; in decimal its last fifteen digits are the count.
"""

COUNTS_AN_ERA = 10**15
"""More than a million changes a second make in thirty years."""


def make_revision(era: int, count: int) -> int:
    """Returns the revision of a count within an era.

    Examples:
        >>> make_revision(2, 57) > make_revision(1, 63)
        True
    """
    return era * COUNTS_AN_ERA + count


def era_of(revision: int) -> int:
    """Returns the era that a revision is of."""
    return revision // COUNTS_AN_ERA


def count_of(revision: int) -> int:
    """Returns the platform's own count of a revision.

    Examples:
        >>> count_of(make_revision(2, 57))
        57
    """
    return revision % COUNTS_AN_ERA
