"""Embeddable coordination algorithms without I/O; callers pass the time."""

from notchhoist.base.rendezvous import flow_hash_key, rank_nodes
from notchhoist.parts.admission import Admission, Job, KindQueue, Ramp
from notchhoist.parts.claim import Claim, Tally
from notchhoist.parts.directory import Directory, Pointer
from notchhoist.parts.placement import Candidate, most_free, two_choices
from notchhoist.parts.recovery import entry_of, merge_records, take_in
from notchhoist.parts.revisions import (
    Difference,
    RevisionStore,
    balancers_for,
)
from notchhoist.parts.tenure import PauseDetector, Tenure
from notchhoist.parts.witness import (
    WITNESS_COUNT,
    Claimant,
    Decision,
    Record,
    Witness,
    majority_of,
    witnesses_of,
)

__all__ = [
    "WITNESS_COUNT",
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
    "entry_of",
    "flow_hash_key",
    "majority_of",
    "merge_records",
    "most_free",
    "rank_nodes",
    "take_in",
    "two_choices",
    "witnesses_of",
]
