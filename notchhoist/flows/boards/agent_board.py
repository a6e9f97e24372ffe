"""The blackboard of an agent."""

from msgspec import Struct, field

from notchhoist.flows.decisions.holding import HeldRequest
from notchhoist.flows.model.effects import Effect
from notchhoist.flows.model.held import HeldFlow
from notchhoist.flows.model.mechanisms import ALL, Mechanisms
from notchhoist.flows.model.messages import ServerState
from notchhoist.flows.model.records import Records, Timing


class AgentBoard(Struct, eq=False):
    """What an agent knows.

    Attributes:
        service: Service of the backend server.
        tag: Tag of that service.
        started_at: When the agent started, seconds.
        sees_all: It started with the whole system: every flow of its server
            has begun before its eyes.
        flows: Flows of the backend server.
        slots: Requests that the backend server works on at once; 0 while
            nobody has told.
        active: Flows whose request holds a slot.
        waiting: Requests that wait for a slot, by flow.
        promised: Accepted flows whose first request is about to come and takes
            a slot, and until when it is expected, seconds.
        pace_s: Smoothed service time, seconds; 0 if unknown.
        backend_gone: The backend server does not listen any more.
        refused_since: Since when it has accepted no connection, seconds, or
            None.
        check_due: When to look at a silent backend server, or ``inf``.
        checking: A look is under way.
        checked_at: When the last look ended, seconds.
        state: What is published of the backend server, as last told, or None.
        evacuated_since: Since when its zone is evacuated, seconds, or None.
        leaving_since: Since when it is known here that the backend server
            leaves, seconds, or None.
        cold_until: When it is warm, as told, seconds.
        balancers: When each balancer was last heard, by host.
        records: Counters and decisions.
        outbox: What is to be done.
        stopping: A planned stop has begun.
        uses: Which mechanisms are in use.
    """

    service: str
    tag: int
    started_at: float
    sees_all: bool = False
    flows: dict[bytes, HeldFlow] = field(default_factory=dict)
    slots: int = 0
    active: set[bytes] = field(default_factory=set)
    waiting: dict[bytes, HeldRequest] = field(default_factory=dict)
    promised: dict[bytes, float] = field(default_factory=dict)
    pace_s: float = 0.0
    backend_gone: bool = False
    refused_since: float | None = None
    check_due: float = float("inf")
    checking: bool = False
    checked_at: float = float("-inf")
    state: ServerState | None = None
    evacuated_since: float | None = None
    leaving_since: float | None = None
    cold_until: float = float("-inf")
    balancers: dict[str, float] = field(default_factory=dict)
    records: Records = field(default_factory=Records)
    outbox: list[Effect] = field(default_factory=list)
    stopping: bool = False
    uses: Mechanisms = ALL

    def observe_wait(
        self, request: HeldRequest, outcome: str, now: float
    ) -> None:
        """Counts how long a request has waited for a slot."""
        waited_s = now - request.arrived_at
        self.records.observe(Timing.WAITING, self.service, outcome, waited_s)

    @property
    def is_leaving(self) -> bool:
        """Whether the backend server has announced that it leaves."""
        return self.state is not None and self.state.draining

    def resting(self) -> list[tuple[bytes, HeldFlow]]:
        """Returns the open flows whose packets have all gone to the server."""
        return [
            (flow, held)
            for flow, held in self.flows.items()
            if self.rests(flow, held)
        ]

    def rests(self, flow: bytes, held: HeldFlow) -> bool:
        """Tells whether the server may get an open flow's last packet again."""
        sample = held.sample
        if sample is None or sample.closes or sample.resets:
            return False
        return held.was_open_here and flow not in self.waiting

    def age_s(self, now: float) -> float:
        """Returns how long ago the agent started, seconds."""
        return now - self.started_at
