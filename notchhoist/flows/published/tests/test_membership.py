"""Selection of readers: balancers that are alive and that the store answers."""

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model.messages import Member
from notchhoist.flows.published.tests.test_view_sync import HOSTS, stable_fleet
from notchhoist.flows.published.view_sync import STORE_RETRY_S
from notchhoist.flows.tests.crafting import CODEC


def fail_calls(fleet, *hosts):
    for host in hosts:
        fleet.nodes[host].board.store_failed_at = fleet.now


def test_others_read_if_the_store_does_not_answer_the_readers():
    fleet = stable_fleet()
    [first, second] = readers = fleet.readers()
    fail_calls(fleet, first, second)
    fleet.run(fleet.now + 1.5)
    assert len(fleet.readers() - readers) == 2


def test_reader_without_an_answer_of_the_store_retries_periodically():
    fleet = stable_fleet()
    reader = fleet.readers().pop()
    fail_calls(fleet, reader)
    fleet.run(fleet.now + 1.0)
    node = fleet.nodes[reader]
    node.synchronizer.on_confirmed(fleet.now)
    assert not node.synchronizer.must_read(fleet.now)
    assert node.synchronizer.must_read(
        node.board.store_failed_at + STORE_RETRY_S
    )


def test_reader_resumes_once_the_store_answers_again():
    fleet = stable_fleet()
    readers = fleet.readers()
    fail_calls(fleet, *readers)
    fleet.run(fleet.now + 1.5)
    for host in readers:
        fleet.nodes[host].board.store_answered_at = fleet.now
    fleet.run(fleet.now + 1.5)
    for host in HOSTS:
        fleet.nodes[host].synchronizer.on_confirmed(fleet.now)
    assert fleet.readers() == readers


def test_older_report_of_a_member_does_not_replace_a_newer_one():
    node = make_balancer("a", CODEC, "n", HOSTS[0])
    membership = node.synchronizer.membership
    membership.on_member(Member(HOSTS[1], 100, 0, unserved=False), 10.0)
    membership.on_member(Member(HOSTS[1], 100, 500, unserved=True), 10.1)
    assert not membership.is_unserved(HOSTS[1])


def test_readers_are_sent_although_many_unserved_members_rank_before_them():
    node = make_balancer("a", CODEC, "n", HOSTS[0])
    membership = node.synchronizer.membership
    for number in range(40):
        unserved_member = Member(f"10.1.0.{number}", 1000, unserved=True)
        membership.on_member(unserved_member, 5.0)
    reader = Member("10.2.0.1", 10)
    membership.on_member(reader, 5.0)
    sent = membership.members_to_send(5.0)
    assert reader in sent
    assert sum(member.unserved for member in sent) > 10
