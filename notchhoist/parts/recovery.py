"""How a restarted witness learns again what it granted.

A grant or fence that counted was given by a majority. If this witness was one
of them, another witness of the same identity was too, and still remembers it.
So the memories of all the other witnesses together hold every decision that
counted. Votes that this witness alone had given are void by then, because a
claim uses its votes within a lease, and the memories are asked for later.
"""

from notchhoist import model
from notchhoist.parts.witness import Claimant, Record, Witness

MILLISECONDS = 1000


def combine(mine: Record, theirs: Record) -> Record:
    """Joins what two witnesses remember of an identity.

    Where they contradict each other, the lost vote of a third may have
    decided either way; the identity is sealed.

    Examples:
        >>> one = Claimant(model.Endpoint("a", 1), claim=1)
        >>> two = Claimant(model.Endpoint("a", 2), claim=2)
        >>> granted = Record(at=0.0, holder=one, granted_attempt=b"x")
        >>> combine(granted, Record(at=1.0)).holder == one
        True
        >>> combine(granted, Record(at=1.0, holder=two)).sealed
        True
        >>> combine(granted, Record(at=1.0, fenced={b"x"})).sealed
        True
    """
    holders = {item.holder for item in (mine, theirs) if item.holder}
    fenced = mine.fenced | theirs.fenced
    holding = mine if mine.holder else theirs
    contradicts = len(holders) > 1 or (
        holding.holder is not None and holding.granted_attempt in fenced
    )
    return Record(
        at=max(mine.at, theirs.at),
        holder=holding.holder,
        granted_attempt=holding.granted_attempt,
        fenced=fenced,
        sealed=mine.sealed or theirs.sealed or contradicts,
    )


def take_in(
    witness: Witness,
    sender: model.Endpoint,
    message: model.Records,
    now: float,
) -> None:
    """Adds a peer's memory to that of a young witness.

    Args:
        witness: The young witness.
        sender: The peer.
        message: What the peer remembers.
        now: Runtime clock, seconds.
    """
    for entry in message.records:
        theirs = _record_of(entry, now)
        mine = witness.records.get(entry.identity)
        joined = combine(mine, theirs) if mine else theirs
        witness.records[entry.identity] = joined
    ordered = sorted(witness.records.items(), key=lambda item: item[1].at)
    witness.records.clear()
    witness.records.update(ordered)
    told = None if message.complete else frozenset(message.vouchers)
    witness.vouchers[sender] = told


def _record_of(entry: model.RecordEntry, now: float) -> Record:
    holder = (
        Claimant(entry.holder, entry.claim)
        if entry.holder is not None
        else None
    )
    return Record(
        at=now - entry.age_ms / MILLISECONDS,
        holder=holder,
        granted_attempt=entry.granted_attempt,
        fenced=set(entry.fenced),
        sealed=entry.sealed,
    )


def entry_of(identity: bytes, record: Record, now: float) -> model.RecordEntry:
    """Writes what a witness remembers of an identity for a peer."""
    holder = record.holder
    return model.RecordEntry(
        identity=identity,
        age_ms=max(0, int((now - record.at) * MILLISECONDS)),
        sealed=record.sealed,
        holder=holder.agent if holder else None,
        claim=holder.claim if holder else 0,
        granted_attempt=record.granted_attempt,
        fenced=sorted(record.fenced),
    )
