"""Claims: counting the votes of witnesses."""

import enum

import attrs

from notchhoist import model
from notchhoist.parts.witness import majority_of


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
