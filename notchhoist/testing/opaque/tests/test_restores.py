"""Days on which the store comes back from copies, again and again."""

import pytest

from notchhoist.testing.opaque.restores import play


@pytest.mark.parametrize("seed", [5, 1004, 1006, 1009])
def test_everybody_knows_what_the_store_holds_in_the_end(seed):
    """With bare counts for revisions 8 days of 24 had faults; these too."""
    assert not list(play(seed).faults())


@pytest.mark.parametrize("seed", [5, 8])
def test_a_restore_is_noticed_that_the_store_does_not_name(seed):
    assert not list(play(seed, names_era=False).faults())
