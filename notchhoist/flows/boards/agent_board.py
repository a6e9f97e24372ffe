"""The blackboard of an agent: the state that its controllers share."""

from msgspec import Struct, field

from notchhoist.flows.decisions.queued_requests import QueuedRequest
from notchhoist.flows.model.backend_flows import BackendFlow
from notchhoist.flows.model.effects import Effect
from notchhoist.flows.model.mechanisms import ALL, Mechanisms
from notchhoist.flows.model.messages import ServerState
from notchhoist.flows.model.records import NotReady, Records, Timing


class AgentBoard(Struct, eq=False):
    """The state of an agent.

    Attributes:
        service: Service of the backend server.
        tag: Tag of that service.
        started_at: When the agent started, seconds.
        knows_all_flows: The agent started together with the whole system, so it
            has seen every flow of its server begin.
        flows: Flows of the backend server, by key.
        slots: Requests that the backend server works on at once; 0 if no
            balancer has reported it yet.
        active: Flows whose request holds a slot.
        waiting: Requests that are queued for a slot, by flow.
        reserved_until: Slot reservations for the first requests of accepted
            flows: when each reservation expires, by flow, seconds.
        pace_s: Smoothed service time, seconds; 0 if unknown.
        backend_gone: The backend server no longer listens.
        refused_since: Since when the backend server has accepted no connection,
            seconds, or None.
        check_due: When the next liveness check of a silent backend server is
            due, seconds, or ``inf``.
        checking: A liveness check is in progress.
        checked_at: When the last liveness check ended, seconds.
        state: Published state of the backend server, as last reported by a
            balancer, or None.
        evacuated_since: Since when its zone is evacuated, seconds, or None.
        draining_since: Since when this agent knows that the backend server
            drains, seconds, or None.
        cold_until: When the slow start of the backend server ends, as last
            reported, seconds.
        balancers: When each balancer was last heard, by host.
        records: Counters and decisions.
        outbox: Effects to perform.
        stopping: A planned stop has begun.
        uses: Which mechanisms are in use.
    """

    service: str
    tag: int
    started_at: float
    knows_all_flows: bool = False
    flows: dict[bytes, BackendFlow] = field(default_factory=dict)
    slots: int = 0
    active: set[bytes] = field(default_factory=set)
    waiting: dict[bytes, QueuedRequest] = field(default_factory=dict)
    reserved_until: dict[bytes, float] = field(default_factory=dict)
    pace_s: float = 0.0
    backend_gone: bool = False
    refused_since: float | None = None
    check_due: float = float("inf")
    checking: bool = False
    checked_at: float = float("-inf")
    state: ServerState | None = None
    evacuated_since: float | None = None
    draining_since: float | None = None
    cold_until: float = float("-inf")
    balancers: dict[str, float] = field(default_factory=dict)
    records: Records = field(default_factory=Records)
    outbox: list[Effect] = field(default_factory=list)
    stopping: bool = False
    uses: Mechanisms = ALL

    def observe_wait(
        self, request: QueuedRequest, outcome: str, now: float
    ) -> None:
        """Records how long a request has waited for a slot.

        Args:
            request: The request.
            outcome: Label of the measured time.
            now: Runtime clock, seconds.
        """
        waited_s = now - request.arrived_at
        self.records.observe(Timing.WAITING, self.service, outcome, waited_s)

    @property
    def not_ready(self) -> NotReady | None:
        """Why the agent does not serve; None if it does.

        It serves from its start on: what it needs, balancers send with flows.
        """
        return NotReady.STOPPING if self.stopping else None

    @property
    def is_draining(self) -> bool:
        """Whether the backend server has announced that it drains."""
        return self.state is not None and self.state.draining

    def idle_flows(self) -> list[tuple[bytes, BackendFlow]]:
        """Returns the idle flows, by key; see ``is_idle``."""
        return [
            (flow, held)
            for flow, held in self.flows.items()
            if self.is_idle(flow, held)
        ]

    def is_idle(self, flow: bytes, held: BackendFlow) -> bool:
        """Tells whether a flow is idle.

        The server has shown it open and has got all its packets. A copy of its
        last packet may serve as a flow probe, as it neither closes nor resets
        the flow.
        """
        sample = held.last_packet
        if sample is None or sample.closes or sample.resets:
            return False
        return held.is_confirmed_open and flow not in self.waiting

    def age_s(self, now: float) -> float:
        """Returns how long ago the agent started, seconds."""
        return now - self.started_at
