"""Long runs of configuration changes, with faults at the balancers."""

from notchhoist.testing.opaque import changes
from notchhoist.testing.opaque.config_judge import APPLY_S

SECONDS = 60.0


def faults(run, kind):
    return [text for key, text in run.judge.broken.items() if key[0] == kind]


def test_acknowledged_changes_are_in_time_while_readers_are_cut_off():
    assert not faults(changes.simulate_without_readers(121, SECONDS), "LATE")


def test_changes_are_in_time_when_store_responses_are_retransmitted():
    run = changes.simulate_without_readers(1, SECONDS, resent_share=1.0)
    assert not faults(run, "LATE")


def test_balancers_never_overestimate_how_fresh_their_state_is():
    assert not faults(changes.simulate(2, SECONDS), "UNTRUE")


def test_balancers_cut_off_from_the_store_learn_of_changes_in_time():
    """Guards against three balancers of six that queried only each other.

    The other three had the changes.
    """
    run = changes.make_run(3, SECONDS)

    def cut():
        [one, *_] = run.balancers()
        for ip in one.node.synchronizer.membership.alive(run.world.now)[:3]:
            run.cut_store(run.world.hosts[ip], SECONDS)

    run.world.later(changes.CALM_S, cut)
    run.world.run_until(SECONDS)
    due = run.world.now - APPLY_S
    wanted = max(item.version for item in run.judge.published if item.at < due)
    for host in run.balancers():
        assert host.node.board.table.version >= wanted
