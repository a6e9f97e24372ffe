"""Witnesses: who may run a request that must not be repeated.

Each request has a few witnesses. A run needs grants from a majority of them,
and a truthful "not run" needs fences from a majority. Two majorities of one
set share a witness, and a witness grants an identity once and never grants an
attempt that it has fenced; so an identity is run by one agent at the most, and
an attempt that was called "not run" is never run.
"""

import enum
from collections import OrderedDict
from collections.abc import Sequence

import attrs

from notchhoist import model
from notchhoist.parts.rendezvous import rank_nodes

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
    """

    at: float
    holder: Claimant | None = None
    granted_attempt: bytes = b""
    fenced: set[bytes] = attrs.Factory(set)


@attrs.frozen
class Decision:
    """A verdict, and the holder where a grant stands in the way."""

    verdict: model.Verdict
    holder: Claimant | None = None


@attrs.define
class Witness:
    """The memory of one witness, kept for a lifetime and in memory only.

    A witness that has just started abstains for a lifetime: an earlier
    incarnation may have granted what this one does not remember.

    Examples:
        >>> witness = Witness(lifetime_s=60.0, started_at=-100.0)
        >>> one = Claimant(model.Endpoint("a", 1), claim=17)
        >>> two = Claimant(model.Endpoint("a", 2), claim=4)
        >>> witness.grant(b"id", b"try 1", one, now=0.0).verdict.name
        'GRANTED'
        >>> witness.grant(b"id", b"try 1", two, now=1.0).verdict.name
        'DENIED'
        >>> witness.fence(b"id", b"try 1", two, now=1.0).verdict.name
        'DENIED'

    Attributes:
        lifetime_s: How long an identity is remembered, seconds.
        started_at: Runtime clock when the memory began, seconds.
        records: What is remembered, oldest first.
    """

    lifetime_s: float
    started_at: float
    records: OrderedDict[bytes, Record] = attrs.Factory(OrderedDict)

    def abstains(self, now: float) -> bool:
        """Tells whether the memory is too young to speak from."""
        return now - self.started_at <= self.lifetime_s

    def grant(
        self,
        identity: bytes,
        attempt: bytes,
        asker: Claimant,
        now: float,
    ) -> Decision:
        """Decides on a request to run.

        Args:
            identity: Digest that names the request.
            attempt: Digest that names one sending of it.
            asker: Claimant that wants to run it.
            now: Runtime clock, seconds.

        Returns:
            The decision; asking again gives the same.
        """
        record = self._record(identity, now)
        if record is None:
            return Decision(model.Verdict.ABSTAINED)
        if attempt in record.fenced:
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
    ) -> Decision:
        """Decides on a request that an attempt never run.

        The holder of a grant that has not started the run may turn its own
        grant into a fence.

        Args:
            identity: Digest that names the request.
            attempt: Digest that names one sending of it.
            asker: Claimant that wants the fence.
            now: Runtime clock, seconds.

        Returns:
            The decision.
        """
        record = self._record(identity, now)
        if record is None:
            return Decision(model.Verdict.ABSTAINED)
        if record.holder is not None and record.granted_attempt == attempt:
            if record.holder != asker:
                return Decision(model.Verdict.DENIED, record.holder)
            record.holder = None
            record.granted_attempt = b""
        record.fenced.add(attempt)
        return Decision(model.Verdict.GRANTED)

    def expire(self, now: float) -> None:
        """Forgets what is older than a lifetime."""
        while self.records:
            identity, record = next(iter(self.records.items()))
            if now - record.at <= self.lifetime_s:
                return
            del self.records[identity]

    def _record(self, identity: bytes, now: float) -> Record | None:
        record = self.records.get(identity)
        if record is not None:
            return record
        if self.abstains(now):
            return None
        record = Record(at=now)
        self.records[identity] = record
        return record


class Tally(enum.Enum):
    """How a claim stands."""

    OPEN = "open"
    WON = "won"
    LOST = "lost"


@attrs.define
class Claim:
    """Counts the votes on one grant or fence.

    After a change of the set of agents a claim has to win in the old sets as
    well as in the new one.

    Examples:
        >>> a, b, c = (model.Endpoint("w", n) for n in range(3))
        >>> claim = Claim(sets=((a, b, c),))
        >>> claim.vote(a, model.Verdict.GRANTED)
        >>> claim.vote(b, model.Verdict.ABSTAINED)
        >>> claim.tally().name
        'OPEN'
        >>> claim.vote(c, model.Verdict.GRANTED)
        >>> claim.tally().name
        'WON'

    Attributes:
        sets: The witnesses in each set of agents that counts.
        votes: The verdicts so far.
    """

    sets: tuple[tuple[model.Endpoint, ...], ...]
    votes: dict[model.Endpoint, model.Verdict] = attrs.Factory(dict)

    def voters(self) -> list[model.Endpoint]:
        """Returns every witness once, in order."""
        return list(
            dict.fromkeys(node for group in self.sets for node in group)
        )

    def vote(self, voter: model.Endpoint, verdict: model.Verdict) -> None:
        """Notes a verdict; of two from one voter the first counts."""
        if voter in self.voters():
            self.votes.setdefault(voter, verdict)

    def tally(self) -> Tally:
        """Tells how the claim stands."""
        tallies = [self._tally_in(group) for group in self.sets]
        if any(item is Tally.LOST for item in tallies):
            return Tally.LOST
        won = bool(tallies) and all(item is Tally.WON for item in tallies)
        return Tally.WON if won else Tally.OPEN

    def _tally_in(self, group: tuple[model.Endpoint, ...]) -> Tally:
        needed = majority_of(len(group))
        votes = [self.votes.get(node) for node in group]
        granted = votes.count(model.Verdict.GRANTED)
        if granted >= needed:
            return Tally.WON
        open_votes = votes.count(None)
        return Tally.OPEN if granted + open_votes >= needed else Tally.LOST
