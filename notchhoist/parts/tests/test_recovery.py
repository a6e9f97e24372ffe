"""Tests of the recovery of a restarted witness."""

from notchhoist import model, parts

OWN, PEER_A, PEER_B, CLAIMANT_AGENT = (
    model.Endpoint("10.0.0.1", port) for port in range(4)
)
OTHERS = frozenset([PEER_A, PEER_B])
CLAIMANT = parts.Claimant(CLAIMANT_AGENT, claim=5)


def recently_started_witness():
    return parts.Witness(OWN, lifetime_s=60.0, started_at=0.0)


def records(complete, vouchers=(), entries=()):
    return model.Records("s", complete, list(vouchers), list(entries), [])


def test_votes_once_all_other_witnesses_have_sent_records():
    witness = recently_started_witness()
    parts.merge_peer_records(witness, PEER_A, records(True), 2.0)
    assert witness.abstains(2.0, OTHERS)
    parts.merge_peer_records(witness, PEER_B, records(True), 2.0)
    assert not witness.abstains(2.0, OTHERS)


def test_issue_4_two_restarted_witnesses_do_not_complete_each_other():
    """Guards against a second run after two witnesses of a request restart.

    The two confirmed each other's empty records and granted the request
    again. Seed 28 of the test with frequent random faults showed it.
    """
    witness, second = recently_started_witness(), recently_started_witness()
    second.own = PEER_A
    parts.merge_peer_records(second, OWN, records(False), 2.0)
    parts.merge_peer_records(second, PEER_B, records(True), 2.0)
    message = records(False, second.complete_vouchers())
    parts.merge_peer_records(witness, PEER_A, message, 2.0)
    parts.merge_peer_records(witness, PEER_B, records(True), 2.0)
    assert witness.abstains(2.0, OTHERS)


def test_records_of_a_recovered_witness_count_as_complete():
    witness = recently_started_witness()
    parts.merge_peer_records(
        witness, PEER_A, records(False, [OWN, PEER_B]), 2.0
    )
    parts.merge_peer_records(witness, PEER_B, records(True), 2.0)
    assert not witness.abstains(2.0, OTHERS)


def test_issue_4_a_recently_started_witness_without_others_abstains():
    assert recently_started_witness().abstains(2.0, frozenset())


def test_merges_grants_and_fences():
    peer = parts.Witness(PEER_A, lifetime_s=60.0, started_at=-100.0)
    peer.grant(b"granted", b"a", CLAIMANT, 0.0)
    peer.fence(b"fenced", b"a", CLAIMANT, 0.0)
    entries = [
        parts.to_record_entry(identity, record, 1.0)
        for identity, record in peer.records.items()
    ]
    witness = recently_started_witness()
    parts.merge_peer_records(
        witness, PEER_A, records(True, entries=entries), 1.0
    )
    other_claimant = parts.Claimant(PEER_B, claim=1)
    granted = witness.grant(b"granted", b"a", other_claimant, 2.0)
    assert granted.verdict is model.Verdict.DENIED
    assert granted.holder == CLAIMANT
    fenced = witness.grant(b"fenced", b"a", other_claimant, 2.0)
    assert fenced.verdict is model.Verdict.DENIED


def test_a_sealed_identity_is_neither_granted_nor_fenced():
    witness = recently_started_witness()
    witness.records[b"i"] = parts.Record(at=0.0, sealed=True)
    for decide in (witness.grant, witness.fence):
        decision = decide(b"i", b"a", CLAIMANT, 1.0)
        assert decision.verdict is model.Verdict.DENIED
