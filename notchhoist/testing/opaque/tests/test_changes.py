"""Long days of changes of the configuration, with troubles at the balancers."""

from notchhoist.testing.opaque import changes
from notchhoist.testing.opaque.config_judge import APPLY_S

SECONDS = 60.0


def faults(day, kind):
    return [text for key, text in day.judge.broken.items() if key[0] == kind]


def test_an_acknowledged_change_is_never_late_while_the_readers_are_cut_off():
    assert not faults(changes.play_without_readers(121, SECONDS), "LATE")


def test_a_change_is_in_time_though_the_answer_that_tells_it_is_sent_again():
    day = changes.play_without_readers(1, SECONDS, resent_share=1.0)
    assert not faults(day, "LATE")


def test_no_balancer_takes_what_it_knows_for_newer_than_it_is():
    assert not faults(changes.play(2, SECONDS), "UNTRUE")


def test_balancers_that_are_cut_off_from_the_store_hear_of_changes_in_time():
    """Three of six asked each other; the others knew."""
    day = changes.make_day(3, SECONDS)

    def cut():
        [one, *_] = day.balancers()
        for ip in one.node.synchronizer.membership.alive(day.world.now)[:3]:
            day.cut_store(day.world.hosts[ip], SECONDS)

    day.world.later(changes.CALM_S, cut)
    day.world.run_until(SECONDS)
    due = day.world.now - APPLY_S
    wanted = max(item.version for item in day.judge.published if item.at < due)
    for host in day.balancers():
        assert host.node.board.table.version >= wanted
