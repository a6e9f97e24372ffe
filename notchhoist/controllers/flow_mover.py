"""Moves whole flows to another agent when a stream or an upload begins."""

import attrs

from notchhoist import model, parts
from notchhoist.blackboards import AgentBoard, Flow, Run
from notchhoist.controllers.flow_router import FlowRouter
from notchhoist.controllers.load_tracker import LoadTracker


@attrs.define
class FlowMover:
    """Moves a whole flow to another agent, together with a request of it.

    Attributes:
        board: State of the agent.
        loads: Load and liveness of the peers.
        flows: Ownership of flows.
    """

    board: AgentBoard
    loads: LoadTracker
    flows: FlowRouter

    def move_stream(self, run: Run, now: float) -> bool:
        """Moves a flow whose stream cannot open at a draining server.

        Args:
            run: Run of the request that opens the stream.
            now: Runtime clock, seconds.

        Returns:
            False if the flow is pinned or no other agent can take it.
        """
        flow = self.board.flows.get(run.caller)
        target = self.flows.choose_owner(now)
        if flow is None or flow.is_pinned():
            return False
        if target == self.board.identity.peer:
            return False
        self._move(run, flow, target, now)
        return True

    def move_upload(self, run: Run, now: float) -> bool:
        """Moves a flow whose upload begins while no slot is free here.

        The whole flow moves, so that later blocks reach the new owner without
        being relayed by this agent.

        Args:
            run: Run of the request with the upload's first block.
            now: Runtime clock, seconds.

        Returns:
            False if the flow holds another stream or upload too, a local slot
            is free, or no other agent has a free slot.
        """
        flow = self.board.flows.get(run.caller)
        block = run.request.block1
        if flow is None or block is None or flow.is_shared():
            return False
        takes = self.loads.takes_new_work(now)
        if takes and self.board.admission.free() > 0:
            return False
        candidates = self.loads.request_candidates(now, run.excluded)
        chosen = parts.least_utilized_with_free_slot(candidates)
        if chosen is None:
            return False
        self.loads.record_sent(chosen.agent)
        self._move(run, flow, chosen.agent, now)
        return True

    def _move(
        self, run: Run, flow: Flow, target: model.Endpoint, now: float
    ) -> None:
        forward = model.Forward(
            service=self.board.identity.service,
            caller=run.caller,
            datagram=run.datagram,
            revision=self.board.config.store.revision,
            hops=1,
            placed=True,
            balancer=flow.balancer or self.board.identity.peer,
        )
        self.flows.move(flow, target, now)
        self.board.send(target, forward)
