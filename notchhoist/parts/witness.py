"""Witnesses: who may run a request that must not be repeated.

Each request has a few witnesses. A run needs grants from a majority of them,
and a truthful "not run" needs fences from a majority. Two majorities of one
set share a witness, and a witness grants an identity once and never grants an
attempt that it has fenced; so an identity is run by one agent at the most, and
an attempt that was called "not run" is never run.
"""

from collections import OrderedDict
from collections.abc import Sequence

import attrs

from notchhoist import model
from notchhoist.base.rendezvous import rank_nodes

WITNESSES = 3
"""How many witnesses a request has, where there are that many agents."""


def witnesses_of(
    identity: bytes, agents: Sequence[model.Endpoint]
) -> tuple[model.Endpoint, ...]:
    """Returns the witnesses of an identity among a set of agents."""
    return tuple(rank_nodes(identity, agents)[:WITNESSES])


def majority_of(count: int) -> int:
    """Returns the size of a majority.

    Examples:
        >>> [majority_of(count) for count in (1, 2, 3)]
        [1, 2, 2]
    """
    return count // 2 + 1


@attrs.frozen
class Claimant:
    """Who asks: an agent and the number of its claim.

    A restarted agent draws other numbers, so it is not taken for the holder
    of a grant that its earlier incarnation may have used.

    Attributes:
        agent: Peer endpoint of the agent.
        claim: Number of the claim, drawn at random for each.
    """

    agent: model.Endpoint
    claim: int


@attrs.define
class Record:
    """What a witness remembers of an identity.

    Attributes:
        at: Runtime clock of the first word of it, seconds.
        holder: Claimant that holds the grant, or None.
        granted_attempt: Attempt that the grant was given for.
        fenced: Attempts that will never be granted.
        sealed: It may have been granted to somebody, nobody knows whom; it
            is neither granted nor fenced again.
        released: Claims that gave their grant back; a late copy of their
            request is not granted.
    """

    at: float
    holder: Claimant | None = None
    granted_attempt: bytes = b""
    fenced: set[bytes] = attrs.Factory(set)
    sealed: bool = False
    released: set[int] = attrs.Factory(set)


@attrs.frozen
class Decision:
    """A verdict, and the holder where a grant stands in the way."""

    verdict: model.Verdict
    holder: Claimant | None = None


@attrs.define
class Witness:
    """The memory of one witness, kept for a lifetime and in memory only.

    A witness that has just started abstains: an earlier incarnation may have
    granted what this one does not remember. After a lifetime, or once all the
    other witnesses of an identity have told what they remember, it speaks.

    Examples:
        >>> own = model.Endpoint("a", 3)
        >>> witness = Witness(own, lifetime_s=60.0, started_at=-100.0)
        >>> one = Claimant(model.Endpoint("a", 1), claim=17)
        >>> two = Claimant(model.Endpoint("a", 2), claim=4)
        >>> witness.grant(b"id", b"try 1", one, now=0.0).verdict.name
        'GRANTED'
        >>> witness.grant(b"id", b"try 1", two, now=1.0).verdict.name
        'DENIED'
        >>> witness.fence(b"id", b"try 1", two, now=1.0).verdict.name
        'DENIED'

    Attributes:
        own: Peer endpoint of the witness's agent.
        lifetime_s: How long an identity is remembered, seconds.
        started_at: Runtime clock when the memory began, seconds.
        records: What is remembered, oldest first.
        vouchers: Agents that have told what they remember; for each the
            agents whose memory it has itself only been told, or None where
            its own memory is old enough.
    """

    own: model.Endpoint
    lifetime_s: float
    started_at: float
    records: OrderedDict[bytes, Record] = attrs.Factory(OrderedDict)
    vouchers: dict[model.Endpoint, frozenset[model.Endpoint] | None] = (
        attrs.Factory(dict)
    )

    def is_young(self, now: float) -> bool:
        """Tells whether the memory does not span a lifetime."""
        return now - self.started_at <= self.lifetime_s

    def abstains(
        self,
        now: float,
        others: frozenset[model.Endpoint],
    ) -> bool:
        """Tells whether the memory is too young to speak from.

        Args:
            now: Runtime clock, seconds.
            others: The other witnesses of the identity.
        """
        if not self.is_young(now):
            return False
        if not others:
            return True
        return not all(self._vouches(one, others) for one in others)

    def firm_vouchers(self) -> list[model.Endpoint]:
        """Returns the agents that told a memory that was old enough.

        What another young witness told does not count: two that were started
        anew would vouch for each other's emptiness.
        """
        return sorted(
            one for one, told in self.vouchers.items() if told is None
        )

    def _vouches(
        self,
        one: model.Endpoint,
        others: frozenset[model.Endpoint],
    ) -> bool:
        if one not in self.vouchers:
            return False
        told = self.vouchers[one]
        needed = (others | {self.own}) - {one}
        return told is None or needed <= told

    def grant(
        self,
        identity: bytes,
        attempt: bytes,
        asker: Claimant,
        now: float,
        others: frozenset[model.Endpoint] = frozenset(),
    ) -> Decision:
        """Decides on a request to run.

        Args:
            identity: Digest that names the request.
            attempt: Digest that names one sending of it.
            asker: Claimant that wants to run it.
            now: Runtime clock, seconds.
            others: The other witnesses of the identity; only a young
                witness needs them.

        Returns:
            The decision; asking again gives the same.
        """
        record = self._record(identity, now, others)
        if record is None:
            return Decision(model.Verdict.ABSTAINED)
        refuses = record.sealed or asker.claim in record.released
        if refuses or attempt in record.fenced:
            return Decision(model.Verdict.DENIED, record.holder)
        if record.holder is None:
            record.holder = asker
            record.granted_attempt = attempt
        same = record.holder == asker and record.granted_attempt == attempt
        verdict = model.Verdict.GRANTED if same else model.Verdict.DENIED
        return Decision(verdict, record.holder)

    def fence(
        self,
        identity: bytes,
        attempt: bytes,
        asker: Claimant,
        now: float,
        others: frozenset[model.Endpoint] = frozenset(),
    ) -> Decision:
        """Decides on a request that an attempt never run.

        The holder of a grant that has not started the run may turn its own
        grant into a fence.

        Args:
            identity: Digest that names the request.
            attempt: Digest that names one sending of it.
            asker: Claimant that wants the fence.
            now: Runtime clock, seconds.
            others: The other witnesses of the identity; only a young
                witness needs them.

        Returns:
            The decision.
        """
        record = self._record(identity, now, others)
        if record is None:
            return Decision(model.Verdict.ABSTAINED)
        if record.sealed:
            return Decision(model.Verdict.DENIED, record.holder)
        if record.holder is not None and record.granted_attempt == attempt:
            if record.holder != asker:
                return Decision(model.Verdict.DENIED, record.holder)
            record.holder = None
            record.granted_attempt = b""
        record.fenced.add(attempt)
        return Decision(model.Verdict.GRANTED)

    def release(self, identity: bytes, claim: int) -> None:
        """Takes back a grant that its holder promises not to use."""
        record = self.records.get(identity)
        if record is None:
            return
        record.released.add(claim)
        if record.holder is not None and record.holder.claim == claim:
            record.holder = None
            record.granted_attempt = b""

    def expire(self, now: float) -> None:
        """Forgets what is older than a lifetime."""
        while self.records:
            identity, record = next(iter(self.records.items()))
            if now - record.at <= self.lifetime_s:
                return
            del self.records[identity]

    def _record(
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
