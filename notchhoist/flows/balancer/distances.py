"""How far agents are, by what their answers take."""

from msgspec import Struct

from notchhoist.flows.model.fleet import Server

USUAL_ROUND_TRIP_S = 0.003
"""A round trip that was not measured yet, seconds."""


class Distances(Struct, eq=False):
    """Knows what a word to an agent and back takes."""

    def round_trip_s(self, server: Server) -> float:
        """Returns the time of a round trip to a server's agent, seconds."""
        del server
        return USUAL_ROUND_TRIP_S
