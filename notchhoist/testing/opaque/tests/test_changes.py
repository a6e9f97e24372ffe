"""Long days of changes of the configuration, with troubles at the balancers."""

from notchhoist.testing.opaque import changes

SECONDS = 60.0


def faults(day, kind):
    return [text for key, text in day.judge.broken.items() if key[0] == kind]


def test_an_acknowledged_change_is_never_late_while_the_readers_are_cut_off():
    assert not faults(changes.play_without_readers(121, SECONDS), "LATE")


def test_no_balancer_takes_what_it_knows_for_newer_than_it_is():
    assert not faults(changes.play(2, SECONDS), "UNTRUE")
