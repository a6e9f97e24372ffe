"""Who reads the platform's store: those that are alive and that it answers."""

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model.messages import Member
from notchhoist.flows.published.sharing import STORE_RETRY_S
from notchhoist.flows.published.tests.test_sharing import HOSTS, calm_fleet
from notchhoist.flows.tests.crafting import CODEC


def fail_calls(fleet, *hosts):
    for host in hosts:
        fleet.nodes[host].board.store_failed_at = fleet.now


def test_others_read_when_the_store_does_not_answer_the_readers():
    fleet = calm_fleet()
    [one, other] = readers = fleet.readers()
    fail_calls(fleet, one, other)
    fleet.run(fleet.now + 1.5)
    assert len(fleet.readers() - readers) == 2


def test_a_reader_that_the_store_does_not_answer_tries_again_now_and_then():
    fleet = calm_fleet()
    reader = fleet.readers().pop()
    fail_calls(fleet, reader)
    fleet.run(fleet.now + 1.0)
    node = fleet.nodes[reader]
    node.sharer.on_confirmed(fleet.now)
    assert not node.sharer.must_read(fleet.now)
    assert node.sharer.must_read(node.board.store_failed_at + STORE_RETRY_S)


def test_a_reader_that_is_answered_again_reads_again():
    fleet = calm_fleet()
    readers = fleet.readers()
    fail_calls(fleet, *readers)
    fleet.run(fleet.now + 1.5)
    for host in readers:
        fleet.nodes[host].board.store_answered_at = fleet.now
    fleet.run(fleet.now + 1.5)
    for host in HOSTS:
        fleet.nodes[host].sharer.on_confirmed(fleet.now)
    assert fleet.readers() == readers


def test_what_others_say_of_a_balancer_does_not_replace_newer_word():
    node = make_balancer("a", CODEC, "n", HOSTS[0])
    membership = node.sharer.membership
    membership.on_member(Member(HOSTS[1], 100, 0, unserved=False), 10.0)
    membership.on_member(Member(HOSTS[1], 100, 500, unserved=True), 10.1)
    assert not membership.is_unserved(HOSTS[1])


def test_balancers_that_read_are_told_of_though_many_before_them_cannot():
    node = make_balancer("a", CODEC, "n", HOSTS[0])
    membership = node.sharer.membership
    for number in range(40):
        cut = Member(f"10.1.0.{number}", 1000, unserved=True)
        membership.on_member(cut, 5.0)
    reader = Member("10.2.0.1", 10)
    membership.on_member(reader, 5.0)
    told = membership.members_to_send(5.0)
    assert reader in told
    assert sum(member.unserved for member in told) > 10
