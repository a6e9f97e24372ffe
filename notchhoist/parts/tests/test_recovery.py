"""Tests of a restarted witness's recovery."""

from notchhoist import model, parts

OWN, X, Y, Z = (model.Endpoint("10.0.0.1", port) for port in range(4))
OTHERS = frozenset([X, Y])
CLAIMANT = parts.Claimant(Z, claim=5)


def young_witness():
    return parts.Witness(OWN, lifetime_s=60.0, started_at=0.0)


def records(complete, vouchers=(), entries=()):
    return model.Records("s", complete, list(vouchers), list(entries), [])


def test_speaks_once_all_other_witnesses_have_told():
    witness = young_witness()
    parts.take_in(witness, X, records(True), 2.0)
    assert witness.abstains(2.0, OTHERS)
    parts.take_in(witness, Y, records(True), 2.0)
    assert not witness.abstains(2.0, OTHERS)


def test_issue_4_two_empty_memories_do_not_vouch_for_each_other():
    """Seed 28 of the fault storm: two restarted witnesses, a second run."""
    witness, other = young_witness(), young_witness()
    other.own = X
    parts.take_in(other, OWN, records(False), 2.0)
    parts.take_in(other, Y, records(True), 2.0)
    told = records(False, other.firm_vouchers())
    parts.take_in(witness, X, told, 2.0)
    parts.take_in(witness, Y, records(True), 2.0)
    assert witness.abstains(2.0, OTHERS)


def test_a_recovered_witness_vouches_for_a_third():
    witness = young_witness()
    parts.take_in(witness, X, records(False, [OWN, Y]), 2.0)
    parts.take_in(witness, Y, records(True), 2.0)
    assert not witness.abstains(2.0, OTHERS)


def test_issue_4_a_young_witness_without_others_abstains():
    assert young_witness().abstains(2.0, frozenset())


def test_takes_in_grants_and_fences():
    teller = parts.Witness(X, lifetime_s=60.0, started_at=-100.0)
    teller.grant(b"granted", b"a", CLAIMANT, 0.0)
    teller.fence(b"fenced", b"a", CLAIMANT, 0.0)
    entries = [
        parts.entry_of(identity, record, 1.0)
        for identity, record in teller.records.items()
    ]
    witness = young_witness()
    parts.take_in(witness, X, records(True, entries=entries), 1.0)
    stranger = parts.Claimant(Y, claim=1)
    granted = witness.grant(b"granted", b"a", stranger, 2.0)
    assert granted.verdict is model.Verdict.DENIED
    assert granted.holder == CLAIMANT
    fenced = witness.grant(b"fenced", b"a", stranger, 2.0)
    assert fenced.verdict is model.Verdict.DENIED


def test_a_sealed_identity_is_neither_granted_nor_fenced():
    witness = young_witness()
    witness.records[b"i"] = parts.Record(at=0.0, sealed=True)
    for decide in (witness.grant, witness.fence):
        decision = decide(b"i", b"a", CLAIMANT, 1.0)
        assert decision.verdict is model.Verdict.DENIED
