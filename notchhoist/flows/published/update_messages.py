"""Builds the messages that send a change of the view to another balancer."""

from msgspec import Struct, field

from notchhoist.flows.model.messages import Member, ViewPiece, ViewTell
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.published.parts import RECORDS_PER_PART, split_change
from notchhoist.flows.published.pieces import ViewPacker


class Query(Struct, eq=False):
    """The latest query of another balancer and the revision that it has.

    Attributes:
        received_at: When the query arrived, seconds.
        revision: The other balancer knows everything up to this revision.
        number: Number of the query.
        reads_pieces: See ``ViewAsk``.
    """

    received_at: float
    revision: int
    number: int
    reads_pieces: bool


class UpdateContext(Struct, frozen=True):
    """What is sent along with a change; see ``ViewTell``.

    Attributes:
        age_s: Time since the platform confirmed the change, seconds.
        members: Balancers that were heard lately.
        asked: Number of the query that is answered.
        placing_for_ms: For how long flows may have been placed, ms.
        rerouted_for_ms: How long ago a route last changed its services, ms.
        reroutes_known_for_ms: For how long all such changes are known, ms.
    """

    age_s: float
    members: tuple[Member, ...]
    asked: int
    placing_for_ms: int
    rerouted_for_ms: int
    reroutes_known_for_ms: int


class UpdateBuilder(Struct, eq=False):
    """Builds messages that fit into one datagram each.

    Attributes:
        packer: Compresses large changes.
    """

    packer: ViewPacker = field(default_factory=ViewPacker)

    def build(
        self, change: ViewChange, context: UpdateContext, in_pieces: bool
    ) -> list[ViewTell] | list[ViewPiece]:
        """Returns the messages that carry a change.

        Args:
            change: The change.
            context: What is sent along with it.
            in_pieces: The receiver understands ``ViewPiece``.
        """
        records = len(change.routes) + len(change.servers)
        if in_pieces and records > RECORDS_PER_PART:
            return _piece_messages(change, self.packer.pack(change), context)
        return _part_messages(change, context)


def _piece_messages(
    change: ViewChange, packed: list[bytes], context: UpdateContext
) -> list[ViewPiece]:
    return [
        ViewPiece(
            change.revision,
            change.base,
            context.age_s,
            context.members if part == 0 else (),
            part,
            len(packed),
            data,
            context.asked,
            context.placing_for_ms,
            context.rerouted_for_ms,
            context.reroutes_known_for_ms,
        )
        for part, data in enumerate(packed)
    ]


def _part_messages(
    change: ViewChange, context: UpdateContext
) -> list[ViewTell]:
    parts = split_change(change)
    return [
        ViewTell(
            item,
            context.age_s,
            context.members,
            part,
            len(parts),
            context.asked,
            context.placing_for_ms,
            context.rerouted_for_ms,
            context.reroutes_known_for_ms,
        )
        for part, item in enumerate(parts)
    ]
