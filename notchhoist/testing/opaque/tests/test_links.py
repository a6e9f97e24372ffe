"""Low-bandwidth links with and without pacing at the balancers."""

from notchhoist.testing.opaque.experiment import simulate

MBPS = 2.0
SECONDS = 8.0


SEEDS = (3, 4, 5, 6, 7)


def outcome(paced, seed=3):
    world = simulate("quiet", seed, SECONDS, link_mbps=MBPS, paced=paced)
    balancers = [host for host in world.hosts.values() if not host.service]
    lost = sum(host.link.lost for host in balancers)
    sent = sum(host.link.sent for host in balancers)
    assert not world.judge.broken
    worth = world.judge.worth(world.workloads)
    return lost / (lost + sent), world.judge.tallies["score-upload"], worth


def test_uploads_pass_low_bandwidth_links_without_loss():
    """Without pacing the balancers' links lost 29% of forwarded packets."""
    lost_before, before, _ = outcome(paced=False)
    lost, after, worth = outcome(paced=True)
    assert lost_before > 0.05
    assert lost < 0.001
    assert after.in_time > 0.85 * after.asked > before.in_time
    assert after.failed == after.refused == 0
    assert worth > 0.99


def test_pacing_raises_the_worth_on_low_bandwidth_links():
    """Without pacing at least 1% of the worth is lost."""
    before = [outcome(False, seed)[2] for seed in SEEDS]
    worth = [outcome(True, seed)[2] for seed in SEEDS]
    assert all(one > other for one, other in zip(worth, before, strict=True))
    assert sum(worth) / len(SEEDS) > 0.99 > sum(before) / len(SEEDS) + 0.01


def test_pacing_changes_nothing_on_fast_links():
    worlds = [
        simulate("quiet", 3, 3.0, link_mbps=1000.0, paced=paced)
        for paced in (False, True)
    ]
    first, second = (world.judge.tallies for world in worlds)
    for kind in first:
        assert first[kind].in_time == second[kind].in_time
