"""Revisions of the published state that stay ordered across store restores.

The platform numbers its changes with a counter. When its store is restored from
a backup, the counter goes back, and the same count then stands for another
change: the state at count 63 before the restore and the state at 63 after it
are unrelated. A revision here is therefore a count within an era, and each
revision of a later era follows all revisions of an earlier one. If revisions
were compared by their counts alone, changes written after a restore would look
old: two draining servers kept getting new flows because of this.

A revision is one integer, so it can be compared, logged and stored as a number.
In decimal, its last fifteen digits are the count.
"""

COUNTS_PER_ERA = 10**15
"""Counts reserved for an era: a million changes a second for thirty years."""


def make_revision(era: int, count: int) -> int:
    """Returns the revision of a count within an era.

    Examples:
        >>> make_revision(2, 57) > make_revision(1, 63)
        True
    """
    return era * COUNTS_PER_ERA + count


def era_of(revision: int) -> int:
    """Returns the era of a revision."""
    return revision // COUNTS_PER_ERA


def count_of(revision: int) -> int:
    """Returns the platform's own count within a revision.

    Examples:
        >>> count_of(make_revision(2, 57))
        57
    """
    return revision % COUNTS_PER_ERA
