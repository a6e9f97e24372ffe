"""The node of an agent on the opaque-flow path."""

from msgspec import Struct

from notchhoist.flows.agent.admitting import RequestGate
from notchhoist.flows.agent.backend_watch import BackendWatch
from notchhoist.flows.agent.bearing import Limits, OpeningGate
from notchhoist.flows.agent.handover import FlowHandover
from notchhoist.flows.agent.load_counting import LoadCounter
from notchhoist.flows.agent.offering import FlowOffers
from notchhoist.flows.agent.refusing import Refuser
from notchhoist.flows.agent.replies import Replies
from notchhoist.flows.agent.resting import RestingFlows
from notchhoist.flows.agent.telling import FlowTeller
from notchhoist.flows.agent.vacancies import SlotVacancies
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.decisions.queueing import SlotQueue
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import (
    Effect,
    SendCaller,
)
from notchhoist.flows.model.held import (
    CLOSED_KEPT_S,
    ENDED,
    HeldFlow,
    Phase,
)
from notchhoist.flows.model.mechanisms import ALL, Mechanisms
from notchhoist.flows.model.messages import (
    FlowsAsk,
    LoadAsk,
    PeerMessage,
)
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec

IDLE_KEPT_S = 60.0
"""A silent flow is forgotten after this time, seconds, likewise."""

BALANCER_KEPT_S = 60.0
"""A balancer that was heard within this time is told of a stop, seconds: as
long as a flow may live. One that was not told takes the silence of a restart
for a loss and looks for flows, and idle flows last came long before."""

SWEEP_S = 1.0

NO_LIMITS = Limits()


class AgentNode(Struct, eq=False):
    """The decisions of an agent; see ``make_agent``.

    Attributes:
        board: What it knows.
        codec: Codec of the packets.
        gate: Shares out the slots.
        watch: Notices when the backend server has ended.
        sweep_due: When old knowledge is next forgotten, seconds.
        counter: Counts the load.
        bearing: Says which new flows the backend server may get.
        replies: Answers balancers.
        offers: Offers new flows to the backend server.
        teller: Tells balancers which flows are here.
        handover: Takes packets of flows that should be here.
        resting: Resets flows whose server ends while they rest.
    """

    board: AgentBoard
    codec: SegmentCodec
    gate: RequestGate
    watch: BackendWatch
    counter: LoadCounter
    bearing: OpeningGate
    replies: Replies
    offers: FlowOffers
    teller: FlowTeller
    handover: FlowHandover
    resting: RestingFlows
    sweep_due: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether the agent serves."""
        return not self.board.stopping

    def load(self, now: float) -> Load:
        """Returns how busy the backend server is, counted a moment ago."""
        return self.counter.load(now)

    def on_balancer(
        self, host: str, segment: Segment, now: float
    ) -> list[Effect]:
        """Takes a packet of a balancer."""
        board = self.board
        board.balancers[host] = now
        kind = notes.kind_of(segment.note)
        if kind is NoteKind.ASK:
            self._answer(host, segment, now)
        elif notes.tag_of(segment) != board.tag:
            board.records.counters[Count.WRONG_SERVICE] += 1
            self.replies.give_back(host, segment, "other service", now)
        elif board.backend_gone:
            self.watch.check_soon(now)
            self.replies.give_back(host, segment, "backend server gone", now)
        elif segment.opens:
            self.offers.on_opening(host, segment, kind, now)
        else:
            self.handover.take(host, segment, kind, now)
        return self._drain()

    def _answer(self, host: str, segment: Segment, now: float) -> None:
        kind = self.teller.kind_of(segment, notes.tag_of(segment), now)
        self.replies.tell(host, kind, segment, now)

    def _answer_flows(self, host: str, question: FlowsAsk, now: float) -> None:
        """Answers about several flows, and hands samples to the server."""
        self.teller.on_ask(host, question, self.load(now), now)
        for segment in self.teller.decode(question.samples):
            if question.tag != self.board.tag or self.board.backend_gone:
                self.teller.note_absent(host, segment.flow, now)
                continue
            self.handover.take(host, segment, NoteKind.TRY, now)
            held = self.board.flows.get(segment.flow)
            if held is not None:
                held.sampled = held.phase is Phase.TRIED

    def on_backend(self, segment: Segment, now: float) -> list[Effect]:
        """Takes a packet that the backend server sent or gave back."""
        board = self.board
        board.records.counters[Count.ANSWER_PACKETS] += 1
        self.resting.on_heard(now)
        if segment.returned:
            self._on_returned(segment, now)
            return self._drain()
        held = board.flows.get(segment.flow)
        if held is None:
            # The agent has restarted; the server's answer shows the flow.
            held = HeldFlow(Phase.OPEN, "", now, now)
            board.flows[segment.flow] = held
        if held.phase is Phase.REFUSED:
            # Copies of an acceptance that its caller must not take up.
            return self._drain()
        held.note_received(segment)
        held.note_shown(segment, now)
        if segment.accepts:
            self.offers.on_accepted(held, segment, now)
        elif held.phase is Phase.TRIED:
            self._on_confirmed(held, now)
        if segment.size or segment.closes:
            # The end of an answer may overtake its data.
            self.gate.on_answer(segment, held, now)
        if segment.resets:
            self.gate.on_reset(held)
            self.resting.on_reset(held, segment.flow, now)
        if segment.closes or segment.resets:
            held.phase = Phase.CLOSED
            self.gate.forget(segment.flow, now)
        held.last_at = now
        board.outbox.append(
            SendCaller(
                segment.caller,
                self.codec.with_note(segment, 0),
                segment.flow,
                segment.seq,
            )
        )
        return self._drain()

    def _on_confirmed(self, held: HeldFlow, now: float) -> None:
        """Tells the balancer that a flow that was only tried is here."""
        held.phase = Phase.OPEN
        if held.balancer and held.sample is not None:
            self.replies.tell(held.balancer, NoteKind.PRESENT, held.sample, now)

    def _on_returned(self, segment: Segment, now: float) -> None:
        """Passes on what the backend server does not take or hold."""
        held = self.board.flows.pop(segment.flow, None)
        if held is not None and held.is_young(now):
            # It held the flow: the server has started again since.
            self.bearing.note_began_anew(now)
        self.offers.offered.pop(segment.flow, None)
        self.gate.forget(segment.flow, now)
        if held is None or self.resting.take_returned(held, segment, now):
            return
        if not held.balancer:
            return
        tried = held.phase is Phase.TRIED
        if tried and held.sampled:
            self.teller.note_absent(held.balancer, segment.flow, now)
            return
        self.replies.give_back(
            held.balancer, segment, "" if tried else "server returned it", now
        )

    def on_checked(
        self, listens: bool, now: float, ended: bool | None = None
    ) -> list[Effect]:
        """Takes the outcome of ``CheckBackend``; see ``BackendWatch``."""
        was_gone = self.board.backend_gone
        tried = self._tried_flows()
        if self.watch.on_checked(listens, now, ended):
            self.offers.offered.clear()
            for flow, held in tried:
                self.teller.note_absent(held.balancer, flow, now)
        if was_gone and not self.board.backend_gone:
            self.bearing.note_began_anew(now)
        return self._drain()

    def _tried_flows(self) -> list[tuple[bytes, HeldFlow]]:
        """Returns flows that balancers wait for the server's word on."""
        return [
            (flow, held)
            for flow, held in self.board.flows.items()
            if held.phase is Phase.TRIED and held.balancer
        ]

    def on_peer(
        self, host: str, message: PeerMessage, now: float
    ) -> list[Effect]:
        """Takes a control message."""
        self.board.balancers[host] = now
        if isinstance(message, LoadAsk):
            self._take_state(message, now)
            self.replies.tell_load(host, now)
            self.offers.on_told(now)
        elif isinstance(message, FlowsAsk):
            self._answer_flows(host, message, now)
        return self._drain()

    def _take_state(self, message: LoadAsk, now: float) -> None:
        self.board.slots = message.slots
        if message.state is None:
            return
        if self.bearing.take_state(message.state, now):
            self.bearing.note_began_anew(now)
            self.watch.on_reborn(now)
            self.resting.survey("server began anew")

    def tick(self, now: float) -> list[Effect]:
        """Does what is due."""
        self.offers.tick(now)
        if self.bearing.is_overdue(now):
            self.gate.refuse_unopened("zone evacuated", now)
        self.gate.tick(now)
        self.resting.tick(now)
        self.watch.tick(now)
        if now >= self.teller.tell_due:
            self.teller.tick(self.load(now), now)
        if now >= self.sweep_due:
            self.sweep_due = now + SWEEP_S
            self._sweep(now)
        return self._drain()

    def _sweep(self, now: float) -> None:
        flows = self.board.flows
        old = [
            flow
            for flow, held in flows.items()
            if now - held.last_at
            > (CLOSED_KEPT_S if held.phase in ENDED else IDLE_KEPT_S)
        ]
        for flow in old:
            del flows[flow]
            self.gate.forget(flow, now)
        self.gate.sweep(now)

    def stop(self, now: float) -> list[Effect]:
        """Begins a planned stop and tells the balancers of it."""
        self.board.stopping = True
        for host, heard_at in self.board.balancers.items():
            if now - heard_at <= BALANCER_KEPT_S:
                self.replies.tell_load(host, now)
        return self._drain()

    def awaits_end(self) -> bool:
        """Tells whether a stop is to wait for the end of the server.

        One that leaves ends soon, and nobody else can see it end.
        """
        return self.resting.awaits_end()

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return min(
            self.offers.due(),
            self.watch.due(),
            self.resting.due(),
            self.teller.tell_due,
            self.sweep_due,
            self.gate.due(),
        )

    def _drain(self) -> list[Effect]:
        effects = list(self.board.outbox)
        self.board.outbox.clear()
        return effects


def make_agent(
    service: str,
    codec: SegmentCodec,
    now: float,
    uses: Mechanisms = ALL,
    sees_all: bool = False,
    limits: Limits = NO_LIMITS,
) -> AgentNode:
    """Makes the decisions of an agent that starts now.

    Args:
        service: Service of the backend server beside it.
        codec: Codec of the packets.
        now: Runtime clock, seconds.
        uses: Which mechanisms are in use.
        sees_all: The whole system starts for the first time.
        limits: Bounds from the settings.
    """
    tag = notes.service_tag(service)
    board = AgentBoard(service, tag, now, sees_all, uses=uses)
    refuser = Refuser(board, codec)
    gate = RequestGate(board, codec, refuser, queue=SlotQueue(uses))
    watch = BackendWatch(board, codec, gate)
    counter = LoadCounter(board, gate)
    teller = FlowTeller(board, codec)
    bearing = OpeningGate(board, limits)
    replies = Replies(board, codec, counter)
    vacancies = SlotVacancies(board, gate)
    offers = FlowOffers(board, codec, bearing, vacancies, replies, watch)
    return AgentNode(
        board=board,
        codec=codec,
        gate=gate,
        watch=watch,
        counter=counter,
        bearing=bearing,
        replies=replies,
        offers=offers,
        teller=teller,
        handover=FlowHandover(
            board, codec, gate, refuser, watch, bearing, replies, teller
        ),
        resting=RestingFlows(board, codec, gate, watch),
    )
