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
    "Claimant",
    "Decision",
    "Difference",
    "Directory",
    "Job",
    "KindQueue",
    "PauseDetector",
    "Pointer",
    "SlotLimit",
    "Record",
    "RevisionStore",
    "ClaimStatus",
    "Tenure",
    "Witness",
    "balancers_for",
    "to_record_entry",
    "flow_hash_key",
    "majority_of",
    "merge_records",
    "least_utilized_with_free_slot",
    "rank_nodes",
    "merge_peer_records",
    "two_choices",
    "witnesses_of",
]
