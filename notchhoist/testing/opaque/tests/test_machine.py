"""Random sequences of overlapping faults break no guarantee."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from notchhoist.testing.opaque import troubles
from notchhoist.testing.opaque.experiment import make_world, start_traffic

STEP_S = 0.4
END_S = 60.0
picks = st.integers(min_value=0, max_value=30)


class Troubles(RuleBasedStateMachine):
    """Plays what hypothesis draws, under traffic."""

    def __init__(self):
        super().__init__()
        self.world = make_world(seed=1, load=0.5)
        start_traffic(self.world, END_S)
        self.world.run_until(4.0)
        self.version = 1

    def host(self, pick, agents):
        hosts = [
            host
            for host in self.world.hosts.values()
            if bool(host.service) is agents and host.node is not None
        ]
        return hosts[pick % len(hosts)] if hosts else None

    def step(self):
        self.world.run_until(self.world.now + STEP_S)

    @rule(pick=picks, agent=st.booleans())
    def kill(self, pick, agent):
        if host := self.host(pick, agent):
            troubles.kill(self.world, host)
        self.step()

    @rule(pick=picks)
    def stop_balancer(self, pick):
        if host := self.host(pick, agents=False):
            troubles.stop_balancer(self.world, host)
        self.step()

    @rule(pick=picks, agent=st.booleans())
    def freeze(self, pick, agent):
        if host := self.host(pick, agent):
            troubles.freeze(self.world, host, 1.5)
        self.step()

    @rule(pick=picks, other=picks)
    def cut(self, pick, other):
        balancer = self.host(pick, agents=False)
        agent = self.host(other, agents=True)
        if balancer and agent:
            troubles.cut(self.world, balancer.ip, agent.ip, 2.0)
        self.step()

    @rule(pick=picks)
    def cut_store(self, pick):
        if host := self.host(pick, agents=False):
            troubles.cut(self.world, host.ip, host.ip, 3.0)
        self.step()

    @rule(pick=picks)
    def replace(self, pick):
        host = self.host(pick, agents=True)
        if host and host.server and not host.server.draining:
            self.world.add_host(host.zone, host.service)
            troubles.retire(self.world, host)
        self.step()

    @rule(pick=picks)
    def power_off(self, pick):
        if host := self.host(pick, agents=True):
            troubles.power_off(self.world, host, 1.0)
        self.step()

    @rule(down=st.sampled_from(["", "silent", "busy", "many", "reset"]))
    def store_trouble(self, down):
        self.world.judge.disturb(self.world.now)
        self.world.store.down = down
        self.step()

    @rule()
    def compact(self):
        self.world.store.compact()
        self.step()

    @rule()
    def configure(self):
        self.version += 1
        self.world.publish(self.version)
        self.step()

    @rule(first=st.integers(0, 9))
    def turn_weights(self, first):
        self.version += 1
        targets = (("hallbook", first), ("scoredrop", 9 - first))
        troubles.split_route(self.world, "roster-feed", *targets)
        self.step()

    @rule(seconds=st.sampled_from([1.0, 5.0]))
    def calm(self, seconds):
        self.world.run_until(self.world.now + seconds)

    @invariant()
    def nothing_is_broken(self):
        assert not self.world.judge.broken

    @invariant()
    def versions_never_go_back(self):
        for host in self.world.hosts.values():
            table = getattr(getattr(host.node, "board", None), "table", None)
            assert table is None or table.version <= self.version


TestTroubles = Troubles.TestCase
TestTroubles.settings = settings(
    max_examples=15,
    stateful_step_count=15,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
