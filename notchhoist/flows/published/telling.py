"""Makes the messages that tell another balancer of a change of the view."""

from msgspec import Struct, field

from notchhoist.flows.model.messages import Member, ViewPiece, ViewTell
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.published.parts import RECORDS_A_PART, split
from notchhoist.flows.published.pieces import ViewPacker


class Question(Struct, eq=False):
    """The newest question of another balancer, and what it knows.

    Attributes:
        at: When it came, seconds.
        revision: Everything up to this revision is known there.
        number: Its number.
        reads_pieces: See ``ViewAsk``.
    """

    at: float
    revision: int
    number: int
    reads_pieces: bool


class Context(Struct, frozen=True):
    """What is told beside a change; see ``ViewTell``.

    Attributes:
        age_s: Time since the platform confirmed the change, seconds.
        members: Balancers that were heard lately.
        asked: Number of the question that is answered.
        placing_for_ms: For how long flows may have been placed, ms.
        rerouted_for_ms: How long ago a route last changed its services, ms.
    """

    age_s: float
    members: tuple[Member, ...]
    asked: int
    placing_for_ms: int
    rerouted_for_ms: int


class ViewTeller(Struct, eq=False):
    """Makes messages that fit a datagram each.

    Attributes:
        packer: Compresses large changes.
    """

    packer: ViewPacker = field(default_factory=ViewPacker)

    def messages(
        self, change: ViewChange, context: Context, in_pieces: bool
    ) -> list[ViewTell] | list[ViewPiece]:
        """Returns the messages that tell of a change.

        Args:
            change: The change.
            context: What is told beside it.
            in_pieces: The receiver understands pieces.
        """
        records = len(change.routes) + len(change.servers)
        if in_pieces and records > RECORDS_A_PART:
            return _in_pieces(change, self.packer.pack(change), context)
        return _in_parts(change, context)


def _in_pieces(
    change: ViewChange, packed: list[bytes], context: Context
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
        )
        for part, data in enumerate(packed)
    ]


def _in_parts(change: ViewChange, context: Context) -> list[ViewTell]:
    parts = split(change)
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
        )
        for part, item in enumerate(parts)
    ]
