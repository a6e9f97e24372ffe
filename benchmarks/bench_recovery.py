"""Recovery after hosts are replaced one after another and all at once.

    python benchmarks/bench_recovery.py

Bookings arrive all the time. Prints for each case the time of the last refusal
and the results. Agents remember non-repeatable requests for 67 s, and only in
their own memory, so a replaced agent starts without these records.
"""

import collections
import random

from notchhoist import controllers, model
from notchhoist.testing import changes, chaos
from notchhoist.testing.caller import Task
from notchhoist.testing.deployment import build_world
from notchhoist.testing.world import World

BOOKING_GAP_S = 0.1
AFTER_S = 90.0
REPLACE_GAP_S = 4.0
DOWNTIME_S = 1.0
STEP_S = 0.05
RECOVERY_LIMIT_S = 80.0
STATE_KINDS = ("configuration", "load", "flows", "memory")


def make_world(seed):
    """Returns a world with a running deployment, and its service."""
    world = World(random.Random(seed))
    configuration = build_world(
        world, (chaos.PLAN,), memory_s=chaos.MEMORY_S, service_s=0.05
    )
    chaos.assume_complete_memory(world)
    world.run(2.0)
    return world, configuration.services[0]


def replace_hosts(world, peers, gap_s):
    """Replaces hosts at regular intervals; each restarts without state."""
    for place, peer in enumerate(peers):
        world.at(place * gap_s, lambda peer=peer: world.kill(peer))
        world.at(
            place * gap_s + DOWNTIME_S, lambda peer=peer: world.start(peer)
        )


def schedule_bookings(world, seconds):
    """Schedules a booking every ``GAP_S`` and returns their number."""
    count = int(seconds / BOOKING_GAP_S)
    for number in range(count):
        task = Task("booking", "POST", chaos.PLAN.name, f"b{number:04}")
        host = f"172.{16 + number // 65_000}.{number // 250}.{number % 250}"
        endpoint = model.Endpoint(host, 9)
        world.at(
            number * BOOKING_GAP_S,
            lambda endpoint=endpoint, task=task: world.add_caller(
                endpoint, [task]
            ),
        )
    return count


def print_case(name, peers_of, gap_s):
    """Prints the figures of one case."""
    world, service = make_world(11)
    peers = peers_of(world, service)
    began = world.now
    replace_hosts(world, peers, gap_s)
    duration = len(peers) * gap_s + AFTER_S
    count = schedule_bookings(world, duration)
    world.run(duration)
    world.run_until(world.callers_done, 100.0)
    told = world.history.told
    results = collections.Counter(item.result.value for item in told)
    refused = [
        item.at - item.latency_s
        for item in told
        if item.result.value != "answered"
    ]
    last = max(refused, default=began) - began
    full_witnesses = sum(
        not node.board.witness.is_recently_started(world.now)
        for node in (host.node for host in world.hosts.values())
        if isinstance(node, controllers.AgentNode)
    )
    print(
        f"  {name:32} {count} bookings, {dict(sorted(results.items()))}, "
        f"last refusal {last:.1f} s after the first stop, "
        f"violations {len(world.history.check())}, "
        f"{full_witnesses} witnesses older than a lifetime"
    )


def recovered_state(site, agent, pinned):
    """Returns which kinds of state a restarted agent has recovered."""
    node = site.world.hosts[agent].node
    if not isinstance(node, controllers.AgentNode):
        return set()
    board = node.board
    others = frozenset(board.other_agents())
    reached = board.config.store.revision == site.configuration.revision
    found = {
        "configuration": reached,
        "load": reached and others <= set(board.peers),
        "flows": pinned <= set(board.flows),
        "memory": reached
        and not board.witness.abstains(site.world.now, others),
    }
    return {name for name, holds in found.items() if holds}


def streams_of(site, agent):
    """Returns the callers of an agent's streams."""
    flows = site.world.hosts[agent].node.board.flows.values()
    return {flow.caller for flow in flows if flow.streams}


def print_state_recovery(name, count, at_once):
    """Prints how long restarted agents take to recover each kind of state."""
    site = changes.make_site(5)
    agents = site.service.agents()[:count]
    pinned = {}
    worst = dict.fromkeys(STATE_KINDS, 0.0)
    groups = [agents] if at_once else [[agent] for agent in agents]
    for group in groups:
        for agent in group:
            pinned[agent] = streams_of(site, agent)
        for agent in group:
            site.replace(agent)
        site.world.run(changes.RESTART_DELAY_S + 0.001)
        began = site.world.now
        missing = {(agent, what) for agent in group for what in STATE_KINDS}
        while missing and site.world.now - began < RECOVERY_LIMIT_S:
            known = {
                (agent, what)
                for agent in group
                for what in recovered_state(site, agent, pinned[agent])
            }
            for _, what in missing & known:
                worst[what] = max(worst[what], site.world.now - began)
            missing -= known
            site.world.run(STEP_S)
        for _, what in missing:
            worst[what] = float("inf")
    shown = ", ".join(f"{what} {worst[what]:.2f} s" for what in STATE_KINDS)
    print(f"  {name:32} whole again after the start: {shown}")


def main():
    """Runs every case."""
    print_state_recovery("one agent of seven", 1, False)
    print_state_recovery("seven agents one after another", 7, False)
    print_state_recovery("two agents at once", 2, True)
    print_state_recovery("seven agents at once", 7, True)
    agents = lambda world, service: list(service.agents())  # noqa: E731
    balancers = lambda world, service: list(world.entries)  # noqa: E731
    one_agent = lambda world, service: [service.agents()[0]]  # noqa: E731
    print_case("one agent", one_agent, REPLACE_GAP_S)
    print_case("agents one after another", agents, REPLACE_GAP_S)
    print_case("all agents at once", agents, 0.0)
    print_case("balancers one after another", balancers, REPLACE_GAP_S)
    print_case("all balancers at once", balancers, 0.0)


if __name__ == "__main__":
    main()
