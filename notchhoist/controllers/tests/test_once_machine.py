"""Stateful property test: at-most-once execution under random faults."""

import hypothesis
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from notchhoist import model
from notchhoist.testing import chaos
from notchhoist.testing.caller import Task

SECONDS = strategies.floats(0.01, 4.0)


class OnceMachine(RuleBasedStateMachine):
    """Bookings at several balancers and agents under faults."""

    def __init__(self):
        super().__init__()
        self.bookings = 0
        self.run = None

    @initialize(seed=strategies.integers(0, 1000))
    def begin(self, seed):
        self.run = chaos.make_chaos(seed)
        self.run.world.run(2.0)

    @rule(tagged=strategies.booleans(), count=strategies.integers(1, 4))
    def book(self, tagged, count):
        for _ in range(count):
            self.bookings += 1
            endpoint = model.Endpoint(f"172.16.1.{self.bookings}", 4000)
            name = f"b{self.bookings:03}"
            task = Task("booking", "POST", chaos.PLAN.name, name, tagged=tagged)
            self.run.world.add_caller(endpoint, [task])

    @rule(seconds=SECONDS)
    def wait(self, seconds):
        self.run.world.run(seconds)

    @rule(number=strategies.integers(0, 10), seconds=SECONDS)
    def fault(self, number, seconds):
        things = self.run.faulty_things()
        things[number % len(things)]()
        self.run.world.run(seconds / 4)

    @rule()
    def heal(self):
        self.run.recover()

    @rule(number=strategies.integers(0, 50))
    def repeat_a_datagram(self, number):
        callers = list(self.run.world.callers.items())
        if callers:
            endpoint, caller = callers[number % len(callers)]
            if caller.datagram:
                self.run.world.spray(
                    chaos.PLAN.name, endpoint, [caller.datagram] * 2
                )

    @invariant()
    def promises_hold(self):
        if self.run is not None:
            assert self.run.world.history.check() == []

    def teardown(self):
        if self.run is not None:
            self.run.recover()
            self.run.world.run(10.0)
            assert self.run.world.history.check() == []


OnceMachine.TestCase.settings = hypothesis.settings(
    max_examples=12,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)

TestOnce = OnceMachine.TestCase
