"""No new flows reach draining servers after the store was restored.

New flows reached a server 5.07 and 5.35 s after the platform had acknowledged
that it drains, where 5 s are allowed, through balancers in two zones and
without any fault at the time.

The store was restored from a backup after an outage of 2.2 s. Its revision was
60, and every balancer knew 63. It refused their watches from 63 (410), and they
ignored the lists that they then read, 36 a second, as outdated. Two servers
announced that they drain, as revisions 62 and 63. From then on watches from 63
were answered again, so none of 21 balancers ever received the new 62 and 63;
all of them saw only that the entry was removed, revision 69.

The cause was that revisions were compared across a restore as if the store had
one history.
"""

from notchhoist.testing.opaque.experiment import simulate

SECONDS = 20.0
OUTAGE_CALLS = 100
"""Limit of the additional requests to the store because of the outage.

Four balancers wait for at least 0.1 s after a failed request, which makes 60 in
1.5 s, and read a few lists afterwards."""


def test_servers_that_drain_after_a_restore_get_no_new_flows():
    world = simulate("store-from-a-copy", seed=7, seconds=SECONDS)
    assert len(world.judge.draining) == 2
    assert not world.judge.broken


def test_a_restored_store_is_not_flooded_with_requests():
    """Guards against reading lists without a pause, 36 a second per reader."""
    world = simulate("store-from-a-copy", seed=7, seconds=SECONDS)
    quiet = simulate("quiet", seed=7, seconds=SECONDS)
    assert world.store.calls < quiet.store.calls + OUTAGE_CALLS
