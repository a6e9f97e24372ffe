"""Tests of the votes of a witness and of the counting in a claim."""

import pytest

from notchhoist import model, parts

FIRST = parts.Claimant(model.Endpoint("10.0.0.1", 1), claim=1)
SECOND = parts.Claimant(model.Endpoint("10.0.0.2", 1), claim=2)
OWN = model.Endpoint("10.0.0.3", 1)
VERDICT = model.Verdict


@pytest.fixture
def witness():
    return parts.Witness(OWN, lifetime_s=10.0, started_at=-100.0)


def test_an_identity_is_granted_once(witness):
    assert witness.grant(b"i", b"a", FIRST, 0.0).verdict is VERDICT.GRANTED
    assert witness.grant(b"i", b"a", FIRST, 1.0).verdict is VERDICT.GRANTED
    denied = witness.grant(b"i", b"a", SECOND, 1.0)
    assert denied.verdict is VERDICT.DENIED
    assert denied.holder == FIRST


def test_a_restarted_claimant_is_another_claimant(witness):
    witness.grant(b"i", b"a", FIRST, 0.0)
    restarted = parts.Claimant(FIRST.agent, claim=9)
    assert witness.grant(b"i", b"a", restarted, 1.0).verdict is VERDICT.DENIED


def test_a_fenced_attempt_is_never_granted(witness):
    assert witness.fence(b"i", b"a", FIRST, 0.0).verdict is VERDICT.GRANTED
    assert witness.grant(b"i", b"a", FIRST, 1.0).verdict is VERDICT.DENIED
    assert witness.grant(b"i", b"a", SECOND, 1.0).verdict is VERDICT.DENIED


def test_another_attempt_may_follow_a_fence(witness):
    witness.fence(b"i", b"a", FIRST, 0.0)
    assert witness.grant(b"i", b"b", SECOND, 1.0).verdict is VERDICT.GRANTED


def test_a_fence_is_denied_if_another_claimant_holds_the_grant(witness):
    witness.grant(b"i", b"a", FIRST, 0.0)
    assert witness.fence(b"i", b"a", SECOND, 1.0).verdict is VERDICT.DENIED


def test_a_holder_converts_its_grant_to_a_fence(witness):
    witness.grant(b"i", b"a", FIRST, 0.0)
    assert witness.fence(b"i", b"a", FIRST, 1.0).verdict is VERDICT.GRANTED
    assert witness.grant(b"i", b"a", FIRST, 2.0).verdict is VERDICT.DENIED


def test_a_recently_started_witness_abstains():
    witness = parts.Witness(OWN, lifetime_s=10.0, started_at=0.0)
    assert witness.grant(b"i", b"a", FIRST, 5.0).verdict is VERDICT.ABSTAINED
    assert witness.fence(b"i", b"a", FIRST, 5.0).verdict is VERDICT.ABSTAINED
    assert witness.grant(b"i", b"a", FIRST, 10.5).verdict is VERDICT.GRANTED


def test_a_record_expires_after_a_lifetime(witness):
    witness.grant(b"i", b"a", FIRST, 0.0)
    witness.expire(9.0)
    assert witness.grant(b"i", b"a", SECOND, 9.0).verdict is VERDICT.DENIED
    witness.expire(11.0)
    assert not witness.records


def test_a_claim_needs_a_majority_in_each_set():
    nodes = [model.Endpoint("w", n) for n in range(4)]
    claim = parts.Claim(sets=((*nodes[:3],), (*nodes[1:],)))
    claim.vote(nodes[1], VERDICT.GRANTED)
    claim.vote(nodes[0], VERDICT.GRANTED)
    assert claim.status() is parts.ClaimStatus.OPEN
    claim.vote(nodes[3], VERDICT.DENIED)
    claim.vote(nodes[2], VERDICT.DENIED)
    assert claim.status() is parts.ClaimStatus.LOST


def test_a_claim_without_witnesses_is_not_won():
    assert parts.Claim(sets=()).status() is parts.ClaimStatus.OPEN
