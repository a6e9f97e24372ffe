"""The published configuration as values."""

import enum

import attrs

from notchhoist.base.identifiers import Endpoint


class ServerState(enum.StrEnum):
    """What the operator wants of a backend server."""

    ACTIVE = "active"
    DRAINING = "draining"


@attrs.frozen(slots=True)
class Kind:
    """A kind of request and how much it weighs.

    Attributes:
        name: Name for people, such as ``booking``.
        method: CoAP method: GET, POST, PUT, DELETE, FETCH, PATCH or IPATCH.
        path: First segment of the request's path.
        weight: Share of slots relative to other kinds, 1 to 100.
        repeatable: The request may run more than once.
        deadline_s: Longest time to an answer, seconds.
    """

    name: str
    method: str
    path: str
    weight: int = 10
    repeatable: bool = True
    deadline_s: float = 8.0


@attrs.frozen(slots=True)
class BackendServer:
    """A backend server and the agent beside it.

    Attributes:
        name: Name, unique within the configuration.
        zone: Availability zone.
        agent: Peer endpoint of its agent.
        address: Endpoint that the server answers requests on.
        slots: Requests that it works on at the same time.
        weight: Share of flows relative to the other servers.
        state: What the operator wants of it.
    """

    name: str
    zone: str
    agent: Endpoint
    address: Endpoint
    slots: int = 4
    weight: float = 1.0
    state: ServerState = ServerState.ACTIVE


@attrs.frozen(slots=True)
class WitnessSet:
    """A set of agents that was in force before a change.

    Attributes:
        epoch: Revision at which the set came into force.
        agents: Peer endpoints of its agents.
    """

    epoch: int
    agents: tuple[Endpoint, ...]


@attrs.frozen(slots=True)
class Service:
    """A service that callers reach.

    Attributes:
        name: Name, unique within the configuration.
        address: Service address that callers send to.
        kinds: Kinds of request; the first match counts.
        servers: Backend servers attached to it.
        memory_s: How long the identity of a request that must not be
            repeated is remembered, seconds; longer than any copy of a
            request can be under way.
        epoch: Revision at which the set of servers last changed.
        former: Earlier sets of agents, newest first.
    """

    name: str
    address: Endpoint
    kinds: tuple[Kind, ...] = ()
    servers: tuple[BackendServer, ...] = ()
    memory_s: float = 67.0
    epoch: int = 0
    former: tuple[WitnessSet, ...] = ()

    def agents(self) -> tuple[Endpoint, ...]:
        """Returns the peer endpoints of the agents, in published order."""
        return tuple(server.agent for server in self.servers)

    def server_of(self, agent: Endpoint) -> BackendServer | None:
        """Returns the server beside an agent, or None."""
        for server in self.servers:
            if server.agent == agent:
                return server
        return None


@attrs.frozen(slots=True)
class BalancerHost:
    """An entry host.

    Attributes:
        name: Name of the host, unique within the configuration.
        zone: Availability zone.
        peer: Peer endpoint of its balancer.
    """

    name: str
    zone: str
    peer: Endpoint


@attrs.frozen(slots=True)
class Configuration:
    """A whole published document.

    Attributes:
        revision: Grows by one with each published change.
        services: All services.
        balancers: All entry hosts.
    """

    revision: int
    services: tuple[Service, ...] = ()
    balancers: tuple[BalancerHost, ...] = ()
