"""No flow that is open at a running server is reset, whatever happens.

The generated histories have restarts, reassigned hosts, balancers that are cut
off from the store, servers that are unlisted, one-way network cuts, and lost,
duplicated and delayed packets.
"""

from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from notchhoist.flows.tests.history import Simulation
from notchhoist.flows.tests.network import BALANCERS, HOSTS

hosts = st.sampled_from(HOSTS)
away = st.sampled_from([0.3, 0.8, 1.4])
events = st.one_of(
    st.tuples(st.just("open"), st.integers(1, 4), st.booleans()),
    st.tuples(st.just("ask"), st.integers(0, 9), st.integers(1, 3)),
    st.tuples(st.just("rest"), st.sampled_from([0.2, 1.0, 2.5, 4.0])),
    st.tuples(st.just("crash"), hosts),
    st.tuples(st.just("flap"), hosts, away, st.booleans()),
    st.tuples(st.just("replace"), hosts, away),
    st.tuples(
        st.just("restart agent"),
        hosts,
        st.sampled_from([0.3, 0.8, 1.4, 6.0]),
        st.booleans(),
    ),
    st.tuples(st.just("leave"), hosts),
    st.tuples(st.just("late opening"), st.integers(0, 9)),
    st.tuples(st.just("restart balancer"), st.sampled_from(BALANCERS)),
    st.tuples(st.just("drain"), hosts, st.booleans()),
    st.tuples(st.just("power"), hosts, away),
    st.tuples(st.just("lapse"), hosts, st.sampled_from([1.0, 8.0])),
    st.tuples(
        st.just("store"),
        st.sets(st.sampled_from(BALANCERS), min_size=1),
        st.sampled_from([0.5, 3.0]),
        st.sets(hosts),
    ),
    st.tuples(st.just("cut"), hosts, st.sampled_from(BALANCERS), st.booleans()),
    st.tuples(st.just("full"), hosts),
)


def apply_event(world, event):
    """Applies one event to a simulation."""
    match event:
        case ("open", count, twice):
            for _ in range(count):
                world.open(twice)
        case ("ask", number, copies):
            ports = sorted(world.callers)
            if ports:
                world.ask(ports[number % len(ports)], copies)
        case ("rest", for_s):
            world.run(for_s)
        case ("crash", ip):
            world.crash(ip)
        case ("flap", ip, away_s, same_id):
            world.restart_server(ip, away_s, same_id)
        case ("replace", ip, away_s):
            world.reassign_host(ip, away_s)
        case ("restart agent", ip, away_s, planned):
            world.stop_agent(ip, away_s, planned)
        case ("leave", ip):
            world.stop_server_and_agent(ip, 7.0)
        case ("late opening", number):
            ports = sorted(world.callers)
            world.open_late(ports[number % len(ports)])
        case ("restart balancer", ip):
            world.restart_balancer(ip)
        case ("drain", ip, slow):
            world.drain(ip, slow)
        case ("power", ip, for_s):
            world.power_off(ip, for_s)
        case ("lapse", ip, for_s):
            world.unlist(ip, for_s)
        case ("store", ips, for_s, unlisted):
            world.cut_store(ips, for_s)
            outage = ips == set(BALANCERS)
            for ip in unlisted:
                world.unlist(ip, for_s + 1.5, outage)
        case ("cut", one, other, forth):
            ways = (one, other) if forth else (other, one)
            world.cut(*ways, 2.0)
        case ("full", ip):
            if world.hosts[ip].server is not None:
                world.hosts[ip].server.accepts = False
    world.run(0.1)


def play(history, seed, loss, late):
    world = Simulation(seed, loss, late)
    for _ in range(4):
        world.open()
    for event in history:
        apply_event(world, event)
    world.run(4.0)
    return world


ONE, TWO, _ = HOSTS

REGRESSIONS = [
    # A server closes its listener; its agent was informed that it drains.
    [("drain", ONE, True), ("rest", 4.0)],
    # The agent was not informed, since its balancer was cut from the store.
    [
        ("open", 1, False),
        ("store", {BALANCERS[1]}, 3.0, set()),
        ("drain", ONE, True),
    ],
    # Two servers accepted a flow; the other one or its agent fails.
    [
        ("power", TWO, 0.3),
        ("rest", 0.2),
        ("ask", 1, 1),
        ("restart agent", ONE, 0.3, False),
    ],
    [("open", 3, True), ("rest", 0.2), ("crash", TWO)],
    [("rest", 0.2), ("open", 1, True), ("cut", TWO, BALANCERS[0], False)],
    # A delayed opening is accepted by a server that exits, and returned late.
    [
        ("open", 1, False),
        ("power", ONE, 0.3),
        ("late opening", 0),
        ("flap", HOSTS[2], 0.3, False),
        ("lapse", ONE, 1.0),
        ("ask", 0, 2),
        ("leave", ONE),
    ],
    # A balancer learns at the same time that a host was reassigned to another
    # service and back.
    [
        ("open", 1, False),
        ("store", {BALANCERS[0]}, 3.0, set()),
        ("replace", TWO, 0.3),
        ("power", TWO, 0.3),
        ("open", 3, False),
    ],
    # A running server is unlisted.
    [("lapse", ONE, 1.0)],
    [
        ("restart agent", ONE, 0.8, False),
        ("open", 2, False),
        ("lapse", ONE, 1.0),
    ],
    # Some flows end with an incarnation of the server, others start after it.
    [("flap", ONE, 0.3, True), ("open", 4, False), ("ask", 0, 1)],
    # A server is lost while it is unlisted, and gets flows after its return
    # through the balancer that could reach it.
    [
        *(("lapse", ONE, 8.0), ("cut", ONE, BALANCERS[0], False)),
        *(("ask", number, 2) for number in range(4)),
        *(("rest", 4.0), ("rest", 4.0)),
        *(("open", 4, False), ("open", 4, False), ("rest", 4.0)),
        *(("ask", number, 3) for number in range(10)),
    ],
    # An agent that has restarted beside a draining server refuses a late copy
    # of the opening packet of an open flow.
    [
        *(("open", 4, False), ("restart agent", ONE, 0.8, False)),
        *(("drain", ONE, True), ("rest", 2.5)),
        *(("late opening", number) for number in range(8)),
    ],
    # Two servers accepted each flow; one of them is lost while callers wait.
    [
        *(("rest", 4.0), ("open", 4, True), ("open", 4, True), ("rest", 2.5)),
        ("power", TWO, 6.0),
        *(("ask", number, 3) for number in range(10)),
    ],
]
"""Histories in which an open flow is reset if one of the guards is removed."""


def kept(test):
    """Adds each of ``REGRESSIONS`` with a few seeds as explicit examples."""
    for history in REGRESSIONS:
        for seed in (0, 1, 2, 3, 225):
            test = example(history, seed, 0.0, 0.0)(test)
    return test


@kept
@settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(
    history=st.lists(events, min_size=3, max_size=14),
    seed=st.integers(0, 1 << 16),
    loss=st.sampled_from([0.0, 0.02]),
    late=st.sampled_from([0.0, 0.05]),
)
def test_no_flow_that_lives_is_reset(history, seed, loss, late):
    assert not play(history, seed, loss, late).wrong


def test_flows_of_exited_servers_are_reset_in_the_regressions():
    """Code that resets no flow at all would pass the test above."""
    worlds = [play(history, 0, 0.0, 0.0) for history in REGRESSIONS]
    assert any(world.resets for world in worlds)


def test_returns_that_are_lost_in_a_cut_confirm_no_flow():
    """Regression: a flow was reset for the loss of a server without it.

    That server returned packets of the flow while its answers were cut off.
    """
    history = [
        ("full", TWO),
        *(("open", 2, True), ("rest", 0.2), ("ask", 9, 1)),
        ("cut", ONE, BALANCERS[1], False),
        *(("rest", 0.2), ("rest", 1.0), ("ask", 5, 3), ("open", 3, False)),
        *(("rest", 1.0), ("rest", 1.0), ("late opening", 3)),
        *(("drain", TWO, False), ("power", ONE, 6.0)),
    ]
    assert not play(history, 13554, 0.02, 0.0).wrong
