"""Changes as messages: size, reassembly and refusal of invalid bytes."""

from hypothesis import given
from hypothesis import strategies as st

from notchhoist.flows.codec.message_codec import decode_message, encode_message
from notchhoist.flows.model.fleet import ColdBound
from notchhoist.flows.model.messages import Member, ViewAsk, ViewTell
from notchhoist.flows.model.view import FleetView, ViewChange
from notchhoist.flows.published.parts import (
    PartAssembler,
    join_parts,
    split_change,
)
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import entry


@given(st.integers(0, 60), st.integers(0, 40), st.integers(0, 9))
def test_parts_fit_into_a_datagram_and_reassemble(routes, servers, removed):
    change = ViewChange(
        revision=7,
        base=3,
        version=2,
        idle_s=15.0,
        routes=tuple(crafting.route(port=1000 + n) for n in range(routes)),
        servers=tuple((entry(n), n) for n in range(servers)),
        removed_routes=tuple(bytes([n]) * 6 for n in range(removed)),
        removed_servers=tuple(f"s{n}" for n in range(removed)),
        cold_bounds=tuple(ColdBound(f"x{n}", 6.0, 2.0) for n in range(removed)),
        evacuated=tuple((f"zone-{n}", n) for n in range(removed)),
        returned=tuple((f"other-{n}", n) for n in range(removed)),
    )
    parts = split_change(change)
    for part in parts:
        tell = ViewTell(part, 0.5, (Member("10.0.0.1", 5),), 0, len(parts))
        data = encode_message(tell)
        assert len(data) < 1400
        assert decode_message(data) == tell
    assert join_parts(parts) == change


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(0, 3)), max_size=30))
def test_changes_lead_to_the_same_view_as_the_full_view(steps):
    """A follower that applies changes ends with the leader's servers."""
    leader, follower = FleetView(), FleetView()
    for revision, (number, action) in enumerate(steps, 1):
        if action == 0:
            leader.remove_server(f"s{number}", revision)
        else:
            leader.put_server(entry(number, slots=action), revision)
        leader.advance_to(revision)
        if revision % 3 == 0:
            change = leader.changes_since(follower.revision)
            for item, at in change.servers:
                follower.put_server(item, at)
            for server_id in change.removed_servers:
                follower.remove_server(server_id, change.revision)
            follower.advance_to(change.revision)
            assert follower.servers == leader.servers


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_decoded_or_refused(data):
    from notchhoist.base.errors import CodecError

    try:
        message = decode_message(data)
    except CodecError:
        return
    assert decode_message(encode_message(message)) == message


@given(st.integers(0, 400))
def test_truncated_message_is_refused(length):
    from notchhoist.base.errors import CodecError

    whole = encode_message(
        ViewTell(
            ViewChange(3, routes=(crafting.route(),), servers=((entry(1), 2),)),
            0.1,
            (Member("10.0.0.1", 5),),
        )
    )
    for data in (whole[:length], encode_message(ViewAsk(5, 6))[:length]):
        try:
            decode_message(data)
        except CodecError:
            continue
        assert length >= len(data)


def test_parts_with_different_bases_are_not_mixed():
    """Guards against joining halves of two responses.

    The joined change lacked the records of the other halves.
    """
    parts = PartAssembler()
    older = split_change(
        ViewChange(9, base=3, removed_servers=numbered("a", 24))
    )
    newer = split_change(
        ViewChange(9, base=6, removed_servers=numbered("b", 24))
    )
    assert parts.add("h", ViewTell(older[0], 0.0, (), 0, 2), 0.0) is None
    assert parts.add("h", ViewTell(newer[1], 0.0, (), 1, 2), 0.0) is None
    whole = parts.add("h", ViewTell(newer[0], 0.0, (), 0, 2), 0.0)
    assert whole is not None
    assert whole.removed_servers == numbered("b", 24)


def numbered(letter, count):
    return tuple(f"{letter}{number}" for number in range(count))
