"""Embeddable coordination algorithms without I/O; callers pass the time."""

from notchhoist.base.rendezvous import flow_hash_key, rank_nodes
from notchhoist.parts.admission import Admission, Job, KindQueue, SlotLimit
from notchhoist.parts.claim import Claim, ClaimStatus
from notchhoist.parts.directory import Directory, Pointer
from notchhoist.parts.placement import (
    Candidate,
    least_utilized_with_free_slot,
    two_choices,
)
from notchhoist.parts.recovery import (
    merge_peer_records,
    merge_records,
    to_record_entry,
)
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
    "ClaimStatus",
    "Claimant",
    "Decision",
    "Difference",
    "Directory",
    "Job",
    "KindQueue",
    "PauseDetector",
    "Pointer",
    "Record",
    "RevisionStore",
    "SlotLimit",
    "Tenure",
    "Witness",
    "balancers_for",
    "flow_hash_key",
    "least_utilized_with_free_slot",
    "majority_of",
    "merge_peer_records",
    "merge_records",
    "rank_nodes",
    "to_record_entry",
    "two_choices",
    "witnesses_of",
]
