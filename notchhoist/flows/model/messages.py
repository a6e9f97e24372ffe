"""Control messages between the processes of the opaque-flow path."""

from msgspec import Struct

from notchhoist.flows.model.view import ViewChange


class ServerState(Struct, frozen=True):
    """Published state of one backend server, sent to its agent.

    Attributes:
        revision: Revision of the newest change of this state; above 0.
        born_ms: See ``ServerEntry``.
        evacuated: Its availability zone gets no new flows.
        evacuated_for_s: For how long at least, seconds.
        cold_for_s: How long its slow start still lasts, seconds; 0 if it is
            over.
        bound_per_s: Cold bound: new flows per second that it accepts in slow
            start; 0 for no bound.
        bound_lasts_s: How long slow start lasts after a start, seconds.
        draining: It has announced that it drains.
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
    """Query for an agent's load; any reply shows that the agent is alive.

    Attributes:
        slots: Requests that its backend server processes concurrently, as
            published; 0 if unknown.
        state: Other published state of the server, or None if unknown.
    """

    slots: int = 0
    state: ServerState | None = None


class LoadTell(Struct, frozen=True):
    """Report of an agent's load.

    Attributes:
        flows: Open flows at its backend server.
        running: Requests that are not answered yet.
        pace_ms: Smoothed service time, ms; 0 if unknown.
        stopping: The agent is about to stop and will be started again.
        state_revision: Revision of the newest ``ServerState`` that the agent
            has; 0 for none.
        service: Service of its backend server; empty from an agent that does
            not read the name of a service behind an opening packet.
    """

    flows: int
    running: int
    pace_ms: int
    stopping: bool
    state_revision: int = 0
    service: str = ""


class FlowsAsk(Struct, frozen=True):
    """Query to an agent which of some flows are at its backend server.

    Attributes:
        number: Number of the query, above 0.
        tag: Tag of the service that the flows belong to.
        heads: Headers of packets of the flows.
        samples: Sample packets of flows that the agent was unsure of; it hands
            them to its backend server to learn whether the flows are there.
    """

    number: int
    tag: int
    heads: tuple[bytes, ...] = ()
    samples: tuple[bytes, ...] = ()


class FlowsTell(Struct, frozen=True):
    """An agent's reply to ``FlowsAsk``, with its load.

    Attributes:
        number: Number of the query; 0 for the result of sample packets.
        present: Keys of the flows that are at the backend server.
        absent: Keys of the flows that are not.
        unsure: Keys of the flows that the agent does not know about.
        flows: See ``LoadTell``.
        running: See ``LoadTell``.
        pace_ms: See ``LoadTell``.
        age_ms: Uptime of an unsure agent, ms; 0 if not reported.
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
    """A balancer in the membership that balancers exchange.

    Attributes:
        host: IP address of its host.
        link_mbps: Bandwidth of its host's link, Mbit/s.
        age_ms: Time since it was last heard, ms. Without it, two balancers
            would keep a dead one listed by reporting it to each other.
        unserved: The platform's store has not answered its last call.
    """

    host: str
    link_mbps: int
    age_ms: int = 0
    unserved: bool = False


class ViewAsk(Struct, frozen=True):
    """Query to another balancer for changes of the published state.

    Attributes:
        revision: The sender knows everything up to this revision.
        link_mbps: Bandwidth of the sender's link, Mbit/s.
        number: Number of the query, above 0.
        reads_pieces: The sender understands ``ViewPiece``.
        unserved: See ``Member``.
    """

    revision: int
    link_mbps: int = 0
    number: int = 0
    reads_pieces: bool = False
    unserved: bool = False


class ViewTell(Struct, frozen=True):
    """Update with changes of the published state that a balancer knows.

    Attributes:
        change: What changed after the receiver's revision, or a part of it.
        age_s: Time since the platform confirmed it, seconds.
        members: Balancers that were heard recently, including the sender.
        part: Number of this part, from 0.
        parts: Total number of parts.
        asked: Number of the newest query that the sender has received from the
            receiver; 0 for none.
        placing_for_ms: For how long at least any balancer that the sender knows
            of may have placed flows, ms; 0 if not reported.
        rerouted_for_ms: Time since a route last named a service that it no
            longer names, or since any route last named several services, ms; 0
            if not recently.
        reroutes_known_for_ms: For how long the sender, or a balancer that told
            it, has known of all such changes, ms; 0 if not reported.
    """

    change: ViewChange
    age_s: float
    members: tuple[Member, ...]
    part: int = 0
    parts: int = 1
    asked: int = 0
    placing_for_ms: int = 0
    rerouted_for_ms: int = 0
    reroutes_known_for_ms: int = 0


class ViewPiece(Struct, frozen=True):
    """Piece of a change that is compressed once for several receivers.

    Attributes:
        revision: See ``ViewChange``.
        base: See ``ViewChange``.
        age_s: See ``ViewTell``.
        members: See ``ViewTell``; only in the first piece.
        part: Number of this piece, from 0.
        parts: Total number of pieces.
        data: Bytes of the compressed change.
        asked: See ``ViewTell``.
        placing_for_ms: See ``ViewTell``.
        rerouted_for_ms: See ``ViewTell``.
        reroutes_known_for_ms: See ``ViewTell``.
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
    reroutes_known_for_ms: int = 0


PeerMessage = (
    LoadAsk | LoadTell | FlowsAsk | FlowsTell | ViewAsk | ViewTell | ViewPiece
)
