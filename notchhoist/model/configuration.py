"""The published configuration as values."""

import enum

import attrs

from notchhoist.base.identifiers import Endpoint


class ServerState(enum.StrEnum):
    """Desired state of a backend server, set by the operator."""

    ACTIVE = "active"
    DRAINING = "draining"


@attrs.frozen(slots=True)
class Kind:
    """A kind of request with its weight and deadline.

    Attributes:
        name: Descriptive name, such as ``booking``.
        method: CoAP method: GET, POST, PUT, DELETE, FETCH, PATCH or IPATCH.
        path: First segment of the path of the request.
        weight: Share of slots, relative to other kinds; 1 to 100.
        repeatable: The request may run more than once.
        deadline_s: Maximum time until the answer, seconds.
    """

    name: str
    method: str
    path: str
    weight: int = 10
    repeatable: bool = True
    deadline_s: float = 8.0


@attrs.frozen(slots=True)
class BackendServer:
    """A backend server and its agent.

    Attributes:
        name: Name, unique within the configuration.
        zone: Availability zone.
        agent: Peer endpoint of its agent.
        address: Endpoint at which the server receives requests.
        slots: Number of requests that the server processes concurrently.
        weight: Share of flows, relative to the other servers.
        state: Desired state, set by the operator.
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
    """An earlier set of the agents of a service.

    Attributes:
        epoch: Revision at which the set came into force.
        agents: Peer endpoints of the agents in the set.
    """

    epoch: int
    agents: tuple[Endpoint, ...]


@attrs.frozen(slots=True)
class Service:
    """A service that callers send requests to.

    Attributes:
        name: Name, unique within the configuration.
        address: Service address that callers send to.
        kinds: Kinds of request; the first one that matches applies.
        servers: Backend servers of the service.
        memory_s: Time for which the identity of a non-repeatable request is
            kept, seconds; longer than any copy of a request can be in
            transit.
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
        """Returns the backend server of an agent, or None."""
        for server in self.servers:
            if server.agent == agent:
                return server
        return None


@attrs.frozen(slots=True)
class BalancerHost:
    """An entry host, which runs a balancer.

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
    """The whole content of a published configuration document.

    Attributes:
        revision: Number that increases by one with each published change.
        services: All services.
        balancers: All entry hosts.
    """

    revision: int
    services: tuple[Service, ...] = ()
    balancers: tuple[BalancerHost, ...] = ()
