"""Egress scheduling: pacing, and priority for small datagrams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from notchhoist.links.backlogs import FairBacklog, FifoBacklog
from notchhoist.links.packets import Outgoing
from notchhoist.links.scheduler import (
    AHEAD_S,
    BACKLOG_S,
    make_scheduler,
)

MBPS = 2.0
RATE = MBPS * 125_000
UPLOAD = 16
"""Datagrams of an upload, which a caller sends within 20 ms."""
LINK_QUEUE_S = 0.06
"""Capacity of the queue of a link, seconds."""
STEP_S = 0.005
BACKLOGS = (FifoBacklog, FairBacklog)


def packet(size=1232, flow=b"", seq=0, since=0.0):
    return Outgoing(0, bytes(size), ("10.0.0.1", 1), flow, seq, since)


class Link:
    """A link with a bounded queue, which drops datagrams beyond it."""

    def __init__(self, mbps=MBPS):
        self.rate = mbps * 125_000
        self.free_at = 0.0
        self.lost = 0
        self.arrived = []

    def carry(self, item, now):
        if self.free_at - now > LINK_QUEUE_S:
            self.lost += 1
            return
        self.free_at = max(self.free_at, now) + item.size / self.rate
        self.arrived.append((self.free_at, item))


def simulate(scheduler, arrivals, until):
    """Offers (time, packet) pairs in order; returns the receiving link."""
    link = Link()
    arrivals = list(arrivals)
    now = 0.0
    while now < until:
        while arrivals and arrivals[0][0] <= now:
            _, item = arrivals.pop(0)
            leaving = scheduler.offer(item, now)
            if leaving is not None:
                link.carry(leaving, now)
        for item in scheduler.take(now):
            link.carry(item, now)
        now = round(now + STEP_S, 4)
    return link


def upload(flow, at):
    return [
        (at + 0.001 * number, packet(1232, flow, number))
        for number in range(UPLOAD)
    ]


@pytest.mark.parametrize("backlog", BACKLOGS)
def test_an_upload_passes_a_low_bandwidth_link_without_loss(backlog):
    """Without pacing, the link loses 29% of what balancers forward."""
    unpaced = simulate(make_scheduler(0), upload(b"a", 0.0), 1.0)
    paced = simulate(make_scheduler(MBPS, backlog()), upload(b"a", 0.0), 1.0)
    assert unpaced.lost > 0
    assert (paced.lost, len(paced.arrived)) == (0, UPLOAD)


@pytest.mark.parametrize("backlog", BACKLOGS)
def test_small_datagrams_do_not_wait_behind_uploads(backlog):
    arrivals = [*upload(b"a", 0.0), (0.03, packet(40, seq=99))]
    link = simulate(make_scheduler(MBPS, backlog()), arrivals, 1.0)
    [at] = [at for at, item in link.arrived if item.seq == 99]
    assert at < 0.03 + AHEAD_S + 2 * STEP_S


def test_a_short_upload_does_not_wait_for_a_long_one():
    arrivals = upload(b"a", 0.0) + upload(b"a", 0.01) + upload(b"b", 0.02)[:2]
    ends = {}
    for backlog in BACKLOGS:
        link = simulate(
            make_scheduler(MBPS, backlog()), sorted(arrivals, key=at), 1
        )
        ends[backlog] = max(t for t, item in link.arrived if item.flow == b"b")
    assert ends[FairBacklog] < 0.6 * ends[FifoBacklog]


def at(offer):
    return offer[0]


def test_a_retransmission_of_a_waiting_datagram_is_discarded():
    scheduler = make_scheduler(MBPS, FairBacklog())
    arrivals = upload(b"a", 0.0) + upload(b"a", 0.03)
    link = simulate(scheduler, sorted(arrivals, key=at), 1.0)
    assert scheduler.copies > 0
    sent = len(link.arrived)
    assert sent == 2 * UPLOAD - scheduler.copies


def test_a_high_bandwidth_link_delays_nothing():
    scheduler = make_scheduler(1000)
    for number in range(200):
        assert scheduler.offer(packet(seq=number), 0.0) is not None


def test_the_backlog_is_bounded_and_drops_are_counted():
    scheduler = make_scheduler(MBPS, FairBacklog())
    for number in range(1000):
        scheduler.offer(packet(1232, b"a", number), 0.0)
    assert scheduler.waiting <= RATE * BACKLOG_S
    assert scheduler.drops > 0


@given(
    st.lists(
        st.tuples(
            st.floats(0, 2),
            st.integers(0, 1232),
            st.sampled_from([b"", b"a", b"b", b"c"]),
            st.integers(0, 20),
        ),
        max_size=200,
    ),
    st.sampled_from(BACKLOGS),
    st.floats(0.1, 5),
)
def test_no_more_leaves_than_the_link_carries_and_nothing_is_lost_unseen(
    drawn, backlog, mbps
):
    scheduler = make_scheduler(mbps, backlog())
    left = []
    now = 0.0
    for when, size, flow, seq in sorted(drawn):
        now = when
        for item in scheduler.take(now):
            left.append((now, item.size))
        item = scheduler.offer(packet(size, flow, seq), now)
        if item is not None:
            left.append((now, item.size))
    waiting = len(drawn) - len(left) - scheduler.drops - scheduler.copies
    while scheduler.waiting:
        now = max(now, scheduler.due())
        taken = scheduler.take(now + 1e-9)
        waiting -= len(taken)
        left += [(now, item.size) for item in taken]
    assert waiting == 0
    for index, (start, _) in enumerate(left):
        total = 0
        for when, size in left[index:]:
            total += size
            room = scheduler.rate * (when - start + AHEAD_S)
            assert total <= room + 1260 + 1


def test_parts_of_a_view_overtake_full_uploads_and_are_not_dropped():
    """In a round-robin with the uploads, the last part leaves after 0.4 s."""
    scheduler = make_scheduler(5.0)
    for number in range(600):
        scheduler.offer(packet(1232, bytes([number % 8]), number), 0.0)
    for number in range(20):
        scheduler.offer(packet(1100, b"", number), 0.0)
    left, now = [], 0.0
    while now < 0.1:
        now += STEP_S
        left += [item for item in scheduler.take(now) if not item.flow]
    assert [item.seq for item in left] == list(range(20))
