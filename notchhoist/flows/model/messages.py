"""Control messages between the processes of the opaque-flow path."""

from msgspec import Struct

from notchhoist.flows.model.view import ViewChange


class ServerState(Struct, frozen=True):
    """What the platform publishes of one backend server, for its agent.

    Attributes:
        revision: The newest change among these facts; above 0.
        born_ms: See ``ServerEntry``.
        evacuated: Its availability zone is to get no new flows.
        evacuated_for_s: Since when at least, seconds ago.
        cold_for_s: How long it stays cold, seconds; 0 where it is warm.
        bound_per_s: New flows that it bears in a second while it is cold; 0 for
            no bound.
        bound_lasts_s: How long it is cold after a start, seconds.
        draining: It has announced that it leaves.
    """

    revision: int
    born_ms: int = 0
    evacuated: bool = False
    evacuated_for_s: float = 0.0
    cold_for_s: float = 0.0
    bound_per_s: float = 0.0
    bound_lasts_s: float = 0.0
    draining: bool = False


class LoadAsk(Struct, frozen=True):
    """Asks an agent for its load; any answer shows that it is alive.

    Attributes:
        slots: Requests that its backend server works on at once, as published;
            0 if unknown.
        state: What else is published of it, or None where that is unknown.
    """

    slots: int = 0
    state: ServerState | None = None


class LoadTell(Struct, frozen=True):
    """An agent's load.

    Attributes:
        flows: Open flows at its backend server.
        running: Requests that have not been answered.
        pace_ms: Smoothed service time, ms; 0 if unknown.
        stopping: The agent is about to stop and to be started again.
        state_revision: Revision of the newest ``ServerState`` that it has; 0
            for none.
    """

    flows: int
    running: int
    pace_ms: int
    stopping: bool
    state_revision: int = 0


class FlowsAsk(Struct, frozen=True):
    """Asks an agent which of some flows are at its backend server.

    Attributes:
        number: Number of the question, above 0.
        tag: Tag of the service that the flows belong to.
        heads: Heads of packets of the flows.
        samples: Packets of flows that it was unsure of; it hands them to its
            backend server to find out.
    """

    number: int
    tag: int
    heads: tuple[bytes, ...] = ()
    samples: tuple[bytes, ...] = ()


class FlowsTell(Struct, frozen=True):
    """An agent's answer to ``FlowsAsk``, with its load.

    Attributes:
        number: Number of the question; 0 for the outcome of samples.
        present: Keys of the flows that are there.
        absent: Keys of those that are not.
        unsure: Keys of those that it cannot tell of.
        flows: See ``LoadTell``.
        running: See ``LoadTell``.
        pace_ms: See ``LoadTell``.
        age_ms: For how long an agent that is unsure has run, ms; 0 if not told.
    """

    number: int
    present: tuple[bytes, ...] = ()
    absent: tuple[bytes, ...] = ()
    unsure: tuple[bytes, ...] = ()
    flows: int = 0
    running: int = 0
    pace_ms: int = 0
    age_ms: int = 0


class Member(Struct, frozen=True):
    """A balancer.

    Attributes:
        host: IP number of its host.
        link_mbps: What its host's link carries, Mbit/s.
        age_ms: Time since it was heard, ms. Without it two balancers would
            keep a dead one alive by telling each other of it.
        unserved: The platform's store has not answered its last call.
    """

    host: str
    link_mbps: int
    age_ms: int = 0
    unserved: bool = False


class ViewAsk(Struct, frozen=True):
    """Asks another balancer for what the platform has published.

    Attributes:
        revision: Everything up to this revision is known.
        link_mbps: What the asker's link carries, Mbit/s.
        number: Number of the question, above 0.
        reads_pieces: The asker understands ``ViewPiece``.
        unserved: See ``Member``.
    """

    revision: int
    link_mbps: int = 0
    number: int = 0
    reads_pieces: bool = False
    unserved: bool = False


class ViewTell(Struct, frozen=True):
    """What a balancer knows of what the platform has published.

    Attributes:
        change: What changed after the asker's revision, or a part of it.
        age_s: Time since the platform confirmed it, seconds.
        members: Balancers that were heard lately, the sender too.
        part: Number of this part, from 0.
        parts: How many parts there are.
        asked: Number of the newest question that its sender had had from the
            receiver; 0 for none.
        placing_for_ms: For how long at least flows may have been placed by any
            balancer that the sender knows of, ms; 0 if not told.
        rerouted_for_ms: How long ago a route last named a service that it no
            longer names, or any route several, ms; 0 if not lately.
    """

    change: ViewChange
    age_s: float
    members: tuple[Member, ...]
    part: int = 0
    parts: int = 1
    asked: int = 0
    placing_for_ms: int = 0
    rerouted_for_ms: int = 0


class ViewPiece(Struct, frozen=True):
    """A piece of a change that was compressed for several receivers at once.

    Attributes:
        revision: See ``ViewChange``.
        base: See ``ViewChange``.
        age_s: See ``ViewTell``.
        members: See ``ViewTell``; in the first piece only.
        part: Number of this piece, from 0.
        parts: How many pieces there are.
        data: The piece.
        asked: See ``ViewTell``.
        placing_for_ms: See ``ViewTell``.
        rerouted_for_ms: See ``ViewTell``.
    """

    revision: int
    base: int
    age_s: float
    members: tuple[Member, ...]
    part: int
    parts: int
    data: bytes
    asked: int = 0
    placing_for_ms: int = 0
    rerouted_for_ms: int = 0


PeerMessage = (
    LoadAsk | LoadTell | FlowsAsk | FlowsTell | ViewAsk | ViewTell | ViewPiece
)
