"""Control messages between the processes of the opaque-flow path."""

from msgspec import Struct

from notchhoist.flows.view import ViewChange


class LoadAsk(Struct, frozen=True):
    """Asks an agent for its load; any answer shows that it is alive.

    Attributes:
        slots: Requests that its backend server works on at once, as published;
            0 if unknown.
    """

    slots: int = 0


class LoadTell(Struct, frozen=True):
    """An agent's load.

    Attributes:
        flows: Open flows at its backend server.
        running: Requests that have not been answered.
        pace_ms: Smoothed service time, ms; 0 if unknown.
        stopping: The agent is about to stop and to be started again.
    """

    flows: int
    running: int
    pace_ms: int
    stopping: bool


class ViewAsk(Struct, frozen=True):
    """Asks another balancer for what the platform has published.

    Attributes:
        revision: Everything up to this revision is known.
    """

    revision: int


class ViewTell(Struct, frozen=True):
    """What a balancer knows of what the platform has published.

    Attributes:
        change: What changed after the asker's revision, or a part of it.
        age_s: Time since the platform confirmed it, seconds.
        members: Hosts of balancers that were heard lately.
        part: Number of this part, from 0.
        parts: How many parts there are.
    """

    change: ViewChange
    age_s: float
    members: tuple[str, ...]
    part: int = 0
    parts: int = 1


PeerMessage = LoadAsk | LoadTell | ViewAsk | ViewTell
