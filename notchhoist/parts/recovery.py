"""Recovery of the records of a restarted witness from the other witnesses.

A grant or fence only takes effect with the votes of a majority. If this
witness was part of that majority, another witness of the same identity was
too, and still has a record of it. The records of all the other witnesses
together therefore hold every decision that took effect. Votes that only this
witness gave are void by the time of the recovery: a claim uses its votes
within a lease, and the records are requested after that lease.
"""

from notchhoist import model
from notchhoist.parts.witness import Claimant, Record, Witness

MS_PER_S = 1000


def merge_records(left: Record, right: Record) -> Record:
    """Merges the records that two witnesses have of one identity.

    If the records contradict each other, the lost vote of a third witness
    may have decided either way, so the identity is sealed.

    Examples:
        >>> first = Claimant(model.Endpoint("a", 1), claim=1)
        >>> second = Claimant(model.Endpoint("a", 2), claim=2)
        >>> granted = Record(at=0.0, holder=first, granted_attempt=b"x")
        >>> merge_records(granted, Record(at=1.0)).holder == first
        True
        >>> merge_records(granted, Record(at=1.0, holder=second)).sealed
        True
        >>> merge_records(granted, Record(at=1.0, fenced={b"x"})).sealed
        True
    """
    holders = {item.holder for item in (left, right) if item.holder}
    fenced = left.fenced | right.fenced
    granted = left if left.holder else right
    is_contradictory = len(holders) > 1 or (
        granted.holder is not None and granted.granted_attempt in fenced
    )
    return Record(
        at=max(left.at, right.at),
        holder=granted.holder,
        granted_attempt=granted.granted_attempt,
        fenced=fenced,
        sealed=left.sealed or right.sealed or is_contradictory,
    )


def merge_peer_records(
    witness: Witness,
    sender: model.Endpoint,
    message: model.Records,
    now: float,
) -> None:
    """Merges the records of a peer into a recently started witness.

    Args:
        witness: The recently started witness.
        sender: Peer endpoint of the agent that sent the records.
        message: The records of that agent.
        now: Runtime clock, seconds.
    """
    for entry in message.records:
        peer_record = _from_record_entry(entry, now)
        own_record = witness.records.get(entry.identity)
        merged = (
            merge_records(own_record, peer_record)
            if own_record
            else peer_record
        )
        witness.records[entry.identity] = merged
    ordered = sorted(witness.records.items(), key=lambda item: item[1].at)
    witness.records.clear()
    witness.records.update(ordered)
    merged_from = None if message.complete else frozenset(message.vouchers)
    witness.vouchers[sender] = merged_from


def _from_record_entry(entry: model.RecordEntry, now: float) -> Record:
    holder = (
        Claimant(entry.holder, entry.claim)
        if entry.holder is not None
        else None
    )
    return Record(
        at=now - entry.age_ms / MS_PER_S,
        holder=holder,
        granted_attempt=entry.granted_attempt,
        fenced=set(entry.fenced),
        sealed=entry.sealed,
    )


def to_record_entry(
    identity: bytes, record: Record, now: float
) -> model.RecordEntry:
    """Converts the record of an identity to its form in a message."""
    holder = record.holder
    return model.RecordEntry(
        identity=identity,
        age_ms=max(0, int((now - record.at) * MS_PER_S)),
        sealed=record.sealed,
        holder=holder.agent if holder else None,
        claim=holder.claim if holder else 0,
        granted_attempt=record.granted_attempt,
        fenced=sorted(record.fenced),
    )
