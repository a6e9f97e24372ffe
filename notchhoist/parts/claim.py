"""Claims: counts the votes of witnesses on a grant or a fence."""

import enum

import attrs

from notchhoist import model
from notchhoist.parts.witness import majority_of


class ClaimStatus(enum.Enum):
    """Status of a claim."""

    OPEN = "open"
    WON = "won"
    LOST = "lost"


@attrs.define
class Claim:
    """Counts the votes on one grant or fence.

    After a change of the set of agents, a claim needs a majority in the new
    set and in each former set that still counts.

    Examples:
        >>> a, b, c = (model.Endpoint("w", n) for n in range(3))
        >>> claim = Claim(sets=((a, b, c),))
        >>> claim.vote(a, model.Verdict.GRANTED)
        >>> claim.vote(b, model.Verdict.ABSTAINED)
        >>> claim.status().name
        'OPEN'
        >>> claim.vote(c, model.Verdict.GRANTED)
        >>> claim.status().name
        'WON'

    Attributes:
        sets: The witnesses in each set of agents that counts.
        votes: The verdicts received so far, by witness.
    """

    sets: tuple[tuple[model.Endpoint, ...], ...]
    votes: dict[model.Endpoint, model.Verdict] = attrs.Factory(dict)

    def voters(self) -> list[model.Endpoint]:
        """Returns the witnesses of all sets without duplicates, in order."""
        return list(
            dict.fromkeys(node for group in self.sets for node in group)
        )

    def vote(self, voter: model.Endpoint, verdict: model.Verdict) -> None:
        """Records a verdict; only the first one of a witness counts."""
        if voter in self.voters():
            self.votes.setdefault(voter, verdict)

    def status(self) -> ClaimStatus:
        """Returns the status of the claim.

        It is lost once one set can no longer reach a majority, and won once
        every set has one.
        """
        tallies = [self._tally_of_set(group) for group in self.sets]
        if any(item is ClaimStatus.LOST for item in tallies):
            return ClaimStatus.LOST
        won = bool(tallies) and all(item is ClaimStatus.WON for item in tallies)
        return ClaimStatus.WON if won else ClaimStatus.OPEN

    def _tally_of_set(self, group: tuple[model.Endpoint, ...]) -> ClaimStatus:
        needed = majority_of(len(group))
        votes = [self.votes.get(node) for node in group]
        granted = votes.count(model.Verdict.GRANTED)
        if granted >= needed:
            return ClaimStatus.WON
        open_votes = votes.count(None)
        return (
            ClaimStatus.OPEN
            if granted + open_votes >= needed
            else ClaimStatus.LOST
        )
