"""New flows at backend servers that had said long before that they leave.

Seen: callers' new flows reached a server 5.07 and 5.35 s after the platform had
acknowledged that it leaves, where 5 s are allowed, through balancers in two
zones and with nothing disturbed at the time.

Order of events: the store was away for 2.2 s and came back from a copy some
seconds old, its revision at 60 where every balancer knew 63. It refused their
watches (410); lists were read, 36 a second, and passed over as older than what
was known. Two servers wrote that they leave, as revisions 62 and 63. From then
on a watch from 63 was answered again, and what 62 and 63 had told was told to
nobody.

Evidence: lists at revision 60 beside a view at 63 in one balancer's log;
refused calls from the store's return until the second of those writes, and none
after it; no balancer of 21 logged either server as draining, all of them logged
the removal of its entry, revision 69.

Cause: positions in the store's history were compared across a restore as if
there were one history.
"""

from notchhoist.testing.opaque.experiment import play

SECONDS = 20.0
OUTAGE_CALLS = 100
"""Calls that the outage may cost: four balancers that know the published state
pause for 0.1 s at least after a failed one, which makes 60 in 1.5 s, and read
a few lists afterwards."""


def test_servers_that_leave_after_a_restore_get_no_new_flows():
    world = play("store-from-a-copy", seed=7, seconds=SECONDS)
    assert len(world.judge.leaving) == 2
    assert not world.judge.broken


def test_a_store_that_came_back_is_not_asked_without_end():
    """Lists were read without a pause, 36 a second and reader."""
    world = play("store-from-a-copy", seed=7, seconds=SECONDS)
    quiet = play("quiet", seed=7, seconds=SECONDS)
    assert world.store.calls < quiet.store.calls + OUTAGE_CALLS
