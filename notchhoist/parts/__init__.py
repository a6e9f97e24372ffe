"""Coordination parts for others to embed: no I/O, the clock is an argument."""

from notchhoist.base.rendezvous import flow_hash_key, rank_nodes
from notchhoist.parts.admission import Admission, Job, KindQueue, Ramp
from notchhoist.parts.claim import Claim, Tally
from notchhoist.parts.directory import Directory, Pointer
from notchhoist.parts.placement import Candidate, most_free, two_choices
from notchhoist.parts.recovery import combine, entry_of, take_in
from notchhoist.parts.revisions import (
    Difference,
    RevisionStore,
    balancers_for,
)
from notchhoist.parts.tenure import PauseDetector, Tenure
from notchhoist.parts.witness import (
    WITNESSES,
    Claimant,
    Decision,
    Record,
    Witness,
    majority_of,
    witnesses_of,
)

__all__ = [
    "WITNESSES",
    "Admission",
    "Candidate",
    "Claim",
    "Claimant",
    "Decision",
    "Difference",
    "Directory",
    "Job",
    "KindQueue",
    "PauseDetector",
    "Pointer",
    "Ramp",
    "Record",
    "RevisionStore",
    "Tally",
    "Tenure",
    "Witness",
    "balancers_for",
    "combine",
    "entry_of",
    "flow_hash_key",
    "majority_of",
    "most_free",
    "rank_nodes",
    "take_in",
    "two_choices",
    "witnesses_of",
]
