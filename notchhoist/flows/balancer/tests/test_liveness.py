"""The silence of a restarting agent resets no flow."""

import pytest

from notchhoist.flows.balancer.liveness import (
    AWAY_AFTER_REFUSAL_S,
    CONCURRENT_CHECKS_MAX,
)
from notchhoist.flows.decisions.server_exit import (
    ANNOUNCED_EXIT_S,
    UNANNOUNCED_EXIT_S,
)
from notchhoist.flows.model.effects import CheckHost, ConnectResult, SendPeer
from notchhoist.flows.model.messages import LoadTell
from notchhoist.flows.tests.balancer_harness import (
    balancer,
    open_used_flow,
    packets,
    resets,
)
from notchhoist.flows.tests.crafting import entry, request

STEP_S = 0.05


class SilentAgent:
    """A balancer with two agents; that of its flow answers no more."""

    def __init__(self, reach):
        self.node = balancer(servers=2)
        self.host = open_used_flow(self.node)
        self.reach = reach
        self.resets = 0
        self.checks = 0
        self.now = 0.0

    def handle(self, effects):
        self.resets += len(resets(effects))
        for effect in effects:
            if isinstance(effect, CheckHost) and self.reach is not None:
                self.checks += 1
                told = self.node.on_host_checked(
                    effect.host, self.reach, self.now
                )
                self.handle(told)
            elif isinstance(effect, SendPeer) and effect.host != self.host:
                load = LoadTell(0, 0, 0, False)
                self.handle(self.node.on_peer(effect.host, load, self.now))

    def run(self, until):
        sent = 0
        while self.now < until:
            self.now = round(self.now + STEP_S, 3)
            sent += 1
            for port in (40001, 40002):
                data = request(data=b"x", port=port, seq=sent)
                self.handle(self.node.on_caller(data, self.now))
            self.handle(self.node.tick(self.now))


def test_flows_of_a_restarting_agent_are_kept():
    """They were reset while their server was up.

    An agent that is stopped as planned announces it only to the balancers that
    it heard lately.
    """
    silent = SilentAgent(ConnectResult.REFUSED)
    silent.run(8.0)
    assert silent.resets == 0
    assert not silent.node.board.by_host[silent.host].lost
    load = LoadTell(1, 0, 0, False)
    silent.node.on_peer(silent.host, load, silent.now)
    forwarded = silent.node.on_caller(request(data=b"y", seq=999), silent.now)
    assert [host for host, _ in packets(forwarded)] == [silent.host]


def test_flows_of_a_host_that_does_not_answer_are_reset():
    silent = SilentAgent(ConnectResult.SILENT)
    silent.run(1.5)
    assert silent.resets == 1


def test_flows_of_a_paused_agent_are_reset():
    """The kernel accepts connections while a process is paused."""
    silent = SilentAgent(ConnectResult.ACCEPTED)
    silent.run(1.5)
    assert silent.resets == 1


def test_no_flow_is_reset_before_a_host_check_has_ended():
    silent = SilentAgent(None)
    silent.run(3.0)
    assert silent.resets == 0


def test_a_host_that_dies_after_a_refusal_is_declared_lost():
    silent = SilentAgent(ConnectResult.REFUSED)
    silent.run(2.0)
    silent.reach = ConnectResult.SILENT
    silent.run(2.0 + AWAY_AFTER_REFUSAL_S - 0.1)
    assert silent.resets == 0
    silent.run(2.0 + AWAY_AFTER_REFUSAL_S + 0.2)
    assert silent.resets == 1


def test_concurrent_checks_are_limited():
    node = balancer(servers=100)
    for server in list(node.board.servers.values()):
        node.health.suspect(server, 0.0, "test")
    effects = node.tick(0.3)
    checks = [item for item in effects if isinstance(item, CheckHost)]
    assert len(checks) == CONCURRENT_CHECKS_MAX


def publish(silent, draining, listed):
    fleet = silent.node.fleet
    number = int(silent.host.rpartition(".")[2])
    fleet.on_entry(entry(number, draining=draining), 20, silent.now)
    if not listed:
        fleet.on_removed(f"s{number}", 21, silent.now)


def test_an_agent_that_exited_with_its_drained_server_is_declared_lost():
    """Searches waited four seconds for it, and callers reached their deadline.

    The platform had stopped the agent after its server, and the host refused
    connections from then on.
    """
    silent = SilentAgent(ConnectResult.REFUSED)
    silent.run(0.5)
    publish(silent, draining=True, listed=False)
    began = (
        silent.node.board.by_host[silent.host].unanswered_probe_at or silent.now
    )
    silent.run(began + ANNOUNCED_EXIT_S - 0.1)
    assert silent.resets == 0
    silent.run(began + ANNOUNCED_EXIT_S + 0.3)
    assert silent.node.board.by_host[silent.host].lost
    assert silent.resets == 1


def test_an_agent_of_a_server_that_did_not_drain_is_awaited_longer():
    silent = SilentAgent(ConnectResult.REFUSED)
    silent.run(0.5)
    publish(silent, draining=False, listed=False)
    silent.run(0.5 + UNANNOUNCED_EXIT_S - 0.1)
    assert silent.resets == 0
    silent.run(0.5 + UNANNOUNCED_EXIT_S + 0.3)
    assert silent.resets == 1


@pytest.mark.parametrize("draining", [True, False])
def test_an_agent_that_may_restart_beside_a_live_server_is_awaited(
    draining,
):
    silent = SilentAgent(ConnectResult.REFUSED)
    silent.run(0.5)
    publish(silent, draining, listed=True)
    silent.run(8.0)
    assert silent.resets == 0
