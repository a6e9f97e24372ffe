"""Witnesses: majority votes on the execution of non-repeatable requests.

Each request has a few witnesses. To run it, an agent needs grants from a
majority of them; to answer "not run", it needs fences from a majority. Two
majorities of one set share a witness. A witness grants an identity only once
and never grants an attempt that it has fenced. Therefore at most one agent
runs an identity, and an attempt that was answered with "not run" never runs.
"""

from collections import OrderedDict
from collections.abc import Sequence

import attrs

from notchhoist import model
from notchhoist.base.rendezvous import rank_nodes

WITNESS_COUNT = 3
"""Number of witnesses of a request, if there are that many agents."""


def witnesses_of(
    identity: bytes, agents: Sequence[model.Endpoint]
) -> tuple[model.Endpoint, ...]:
    """Returns the witnesses of an identity, chosen by rendezvous hashing."""
    return tuple(rank_nodes(identity, agents)[:WITNESS_COUNT])


def majority_of(count: int) -> int:
    """Returns the size of a majority of a number of voters.

    Examples:
        >>> [majority_of(count) for count in (1, 2, 3)]
        [1, 2, 2]
    """
    return count // 2 + 1


@attrs.frozen
class Claimant:
    """An agent that claims a grant or a fence, with the number of its claim.

    A restarted agent draws other numbers, so it is not mistaken for the
    holder of a grant that its earlier incarnation may have used.

    Attributes:
        agent: Peer endpoint of the agent.
        claim: Random number of the claim.
    """

    agent: model.Endpoint
    claim: int


@attrs.define
class Record:
    """Record of a witness about an identity.

    Attributes:
        at: Runtime clock when the record was created, seconds.
        holder: Claimant that holds the grant, or None.
        granted_attempt: Attempt that the grant was given for.
        fenced: Attempts that are never granted.
        sealed: The identity may have been granted to an unknown claimant; it
            is neither granted nor fenced any more.
        released: Claims that released their grant; a delayed duplicate of
            their request is not granted.
    """

    at: float
    holder: Claimant | None = None
    granted_attempt: bytes = b""
    fenced: set[bytes] = attrs.Factory(set)
    sealed: bool = False
    released: set[int] = attrs.Factory(set)


@attrs.frozen
class Decision:
    """A verdict, and the holder of the grant if there is one."""

    verdict: model.Verdict
    holder: Claimant | None = None


@attrs.define
class Witness:
    """The records and votes of one witness.

    Records are kept in memory only, for a limited lifetime. A recently
    started witness abstains on identities without a record, because an
    earlier incarnation may have granted them. It votes after a lifetime, or
    once all the other witnesses of an identity have sent complete records.

    Examples:
        >>> own = model.Endpoint("a", 3)
        >>> witness = Witness(own, lifetime_s=60.0, started_at=-100.0)
        >>> first = Claimant(model.Endpoint("a", 1), claim=17)
        >>> second = Claimant(model.Endpoint("a", 2), claim=4)
        >>> witness.grant(b"id", b"try 1", first, now=0.0).verdict.name
        'GRANTED'
        >>> witness.grant(b"id", b"try 1", second, now=1.0).verdict.name
        'DENIED'
        >>> witness.fence(b"id", b"try 1", second, now=1.0).verdict.name
        'DENIED'

    Attributes:
        own: Peer endpoint of the witness's agent.
        lifetime_s: Time for which a record is kept, seconds.
        started_at: Runtime clock when the witness started, seconds.
        records: Records by identity, oldest first.
        vouchers: Agents that have sent their records. The value is None if
            the records of the agent were complete, else the agents whose
            complete records it had merged.
    """

    own: model.Endpoint
    lifetime_s: float
    started_at: float
    records: OrderedDict[bytes, Record] = attrs.Factory(OrderedDict)
    vouchers: dict[model.Endpoint, frozenset[model.Endpoint] | None] = (
        attrs.Factory(dict)
    )

    def is_recently_started(self, now: float) -> bool:
        """Tells whether the records do not span a whole lifetime yet."""
        return now - self.started_at <= self.lifetime_s

    def abstains(
        self,
        now: float,
        others: frozenset[model.Endpoint],
    ) -> bool:
        """Tells whether the witness abstains on an identity without a record.

        Args:
            now: Runtime clock, seconds.
            others: The other witnesses of the identity.
        """
        if not self.is_recently_started(now):
            return False
        if not others:
            return True
        return not all(
            self._vouches_for_others(peer, others) for peer in others
        )

    def complete_vouchers(self) -> list[model.Endpoint]:
        """Returns the agents that sent complete records.

        Records of another recently started witness do not count: otherwise
        two restarted witnesses would confirm each other's empty records.
        """
        return sorted(
            peer
            for peer, merged_from in self.vouchers.items()
            if merged_from is None
        )

    def _vouches_for_others(
        self,
        peer: model.Endpoint,
        others: frozenset[model.Endpoint],
    ) -> bool:
        if peer not in self.vouchers:
            return False
        merged_from = self.vouchers[peer]
        needed = (others | {self.own}) - {peer}
        return merged_from is None or needed <= merged_from

    def grant(
        self,
        identity: bytes,
        attempt: bytes,
        claimant: Claimant,
        now: float,
        others: frozenset[model.Endpoint] = frozenset(),
    ) -> Decision:
        """Votes on a claim to run a request.

        Args:
            identity: Digest that names the request.
            attempt: Digest that names one sending of it.
            claimant: Claimant of the grant.
            now: Runtime clock, seconds.
            others: The other witnesses of the identity; only used by a
                recently started witness.

        Returns:
            The decision; a repeated request gets the same one.
        """
        record = self._find_or_create_record(identity, now, others)
        if record is None:
            return Decision(model.Verdict.ABSTAINED)
        is_sealed_or_released = (
            record.sealed or claimant.claim in record.released
        )
        if is_sealed_or_released or attempt in record.fenced:
            return Decision(model.Verdict.DENIED, record.holder)
        if record.holder is None:
            record.holder = claimant
            record.granted_attempt = attempt
        is_holder = (
            record.holder == claimant and record.granted_attempt == attempt
        )
        verdict = model.Verdict.GRANTED if is_holder else model.Verdict.DENIED
        return Decision(verdict, record.holder)

    def fence(
        self,
        identity: bytes,
        attempt: bytes,
        claimant: Claimant,
        now: float,
        others: frozenset[model.Endpoint] = frozenset(),
    ) -> Decision:
        """Votes on a claim that an attempt must never run.

        A holder that has not started the run may convert its own grant to a
        fence.

        Args:
            identity: Digest that names the request.
            attempt: Digest that names one sending of it.
            claimant: Claimant of the fence.
            now: Runtime clock, seconds.
            others: The other witnesses of the identity; only used by a
                recently started witness.

        Returns:
            The decision.
        """
        record = self._find_or_create_record(identity, now, others)
        if record is None:
            return Decision(model.Verdict.ABSTAINED)
        if record.sealed:
            return Decision(model.Verdict.DENIED, record.holder)
        if record.holder is not None and record.granted_attempt == attempt:
            if record.holder != claimant:
                return Decision(model.Verdict.DENIED, record.holder)
            record.holder = None
            record.granted_attempt = b""
        record.fenced.add(attempt)
        return Decision(model.Verdict.GRANTED)

    def release(self, identity: bytes, claim: int) -> None:
        """Releases a grant that its holder will not use."""
        record = self.records.get(identity)
        if record is None:
            return
        record.released.add(claim)
        if record.holder is not None and record.holder.claim == claim:
            record.holder = None
            record.granted_attempt = b""

    def expire(self, now: float) -> None:
        """Removes the records that are older than a lifetime."""
        while self.records:
            identity, record = next(iter(self.records.items()))
            if now - record.at <= self.lifetime_s:
                return
            del self.records[identity]

    def _find_or_create_record(
        self,
        identity: bytes,
        now: float,
        others: frozenset[model.Endpoint],
    ) -> Record | None:
        record = self.records.get(identity)
        if record is None and not self.abstains(now, others):
            record = Record(at=now)
            self.records[identity] = record
        return record
