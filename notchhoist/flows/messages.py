"""Control messages between the processes of the opaque-flow path."""

from msgspec import Struct


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


PeerMessage = LoadAsk | LoadTell
