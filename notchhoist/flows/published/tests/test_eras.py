"""Views of balancers over restores of the platform's store from a backup."""

import random

from hypothesis import example, given, settings
from hypothesis import strategies as st

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import ViewAsk, ViewTell
from notchhoist.flows.model.revisions import era_of, make_revision
from notchhoist.flows.published.eras import RESTORE_GRACE_S
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, entry

HOSTS = ("10.9.0.1", "10.9.0.2", "10.9.0.3")


def at(count, era=1):
    return make_revision(era, count)


def list_servers(node, entries, revision, now=0.0, **fields):
    node.fleet.on_listing(entries, revision, now, **fields)
    return node


def balancer_with(*entries, host=HOSTS[0]):
    """A balancer that has some entries at revision 63 of the first era."""
    node = make_balancer("a", CODEC, host, host)
    node.fleet.tables.on_table(crafting.table(4), at(60))
    return list_servers(node, [(item, at(41)) for item in entries], at(63))


def test_restore_does_not_make_a_draining_server_ready():
    node = balancer_with(entry(1, draining=True))
    list_servers(node, [(entry(1), at(40, 2))], at(57, 2), 1.0)
    assert node.board.servers["s1"].entry.draining
    assert node.board.view.servers["s1"].draining


def test_restore_does_not_make_a_removed_draining_server_ready():
    node = balancer_with(entry(1, draining=True))
    node.fleet.on_removed("s1", at(64), 0.5)
    list_servers(node, [(entry(1), at(40, 2))], at(57, 2), 1.0)
    assert node.board.servers["s1"].entry.draining


def test_restored_entry_replaces_an_invalid_one():
    node = balancer_with(entry(1))
    node.fleet.on_refused("s1", at(64))
    list_servers(node, [(entry(1), at(40, 2))], at(57, 2), 1.0)
    assert not node.board.servers["s1"].entry.draining


def test_restore_does_not_bring_back_a_former_incarnation():
    node = balancer_with(entry(1, born_ms=9))
    server = node.board.servers["s1"]
    list_servers(node, [(entry(1, born_ms=5), at(40, 2))], at(57, 2), 1.0)
    assert node.board.servers["s1"] is server
    assert server.entry.born_ms == 9


def test_restore_does_not_make_a_warm_server_cold():
    node = balancer_with(entry(1, warm_in_s=2.0))
    warm_at = node.board.servers["s1"].warm_at
    restored_entry = entry(1, warm_in_s=2.0, created=at(40, 2))
    list_servers(node, [(restored_entry, at(40, 2))], at(57, 2), 30.0)
    assert node.board.servers["s1"].warm_at == warm_at


def test_evacuation_holds_during_the_grace_period():
    node = balancer_with(entry(1))
    node.fleet.zones.on_evacuated("a", at(64), 0.5)
    list_servers(node, [(entry(1), at(40, 2))], at(57, 2), 1.0)
    assert set(node.board.view.evacuated) == {"a"}
    assert not node.fleet.must_list_again(1.0 + RESTORE_GRACE_S - 0.1)
    assert node.fleet.must_list_again(1.0 + RESTORE_GRACE_S)
    list_servers(
        node, [(entry(1), at(40, 2))], at(57, 2), 1.0 + RESTORE_GRACE_S
    )
    assert not node.board.view.evacuated
    assert not node.fleet.must_list_again(10.0)


def test_restored_older_server_does_not_replace_its_successor():
    """Entries of a backup were created before those that it had lost."""
    new = entry(1, server_id="new", created=at(60))
    node = balancer_with(new)
    old = entry(1, server_id="old", created=at(40, 2))
    list_servers(node, [(old, at(40, 2))], at(57, 2), 1.0)
    assert node.board.by_host["10.0.0.1"].entry.server_id == "new"
    again = entry(1, server_id="new", created=at(58, 2))
    node.fleet.on_entry(again, at(58, 2), 1.5)
    assert node.board.by_host["10.0.0.1"].entry.server_id == "new"


def test_server_created_after_a_restore_replaces_an_older_one():
    """Guards against comparing counts only: 58 is below 60, but a later era."""
    node = balancer_with(entry(1, server_id="old", created=at(60)))
    list_servers(node, [], at(57, 2), 1.0)
    new = entry(1, server_id="new", created=at(58, 2))
    node.fleet.on_entry(new, at(58, 2), 1.5)
    assert node.board.by_host["10.0.0.1"].entry.server_id == "new"


def send_update(source, target, now=1.0):
    """Sends a change, and the full view if the target then requests it."""
    target.take_effects()
    host = source.board.host
    known = target.board.view.revision
    change = source.board.view.changes_since(known)
    target.synchronizer.on_update(host, ViewTell(change, 0.0, ()), now)
    asked = [
        effect.message.revision
        for effect in target.take_effects()
        if isinstance(effect, SendPeer)
        and isinstance(effect.message, ViewAsk)
        and effect.host == host
    ]
    for revision in asked:
        change = source.board.view.changes_since(revision)
        target.synchronizer.on_update(host, ViewTell(change, 0.0, ()), now)


def test_update_of_an_earlier_era_confirms_nothing():
    outdated = balancer_with(entry(1), host=HOSTS[1])
    node = list_servers(
        balancer_with(entry(1)), [(entry(1), at(41, 2))], at(57, 2), 1.0
    )
    node.synchronizer.query_sent_at[7] = 1.0
    change = outdated.board.view.changes_since(node.board.view.revision)
    node.synchronizer.on_update(
        HOSTS[1], ViewTell(change, 0.0, (), asked=7), 1.1
    )
    assert node.board.confirmed_at == float("-inf")
    assert era_of(node.board.view.revision) == 2


def test_balancer_with_a_restored_older_configuration_gets_the_rewritten_one():
    """Guards against a response that leaves out the newer configuration.

    A balancer that has read an older one from the restored store queries from a
    later revision than that at which the others got the newer one.
    """
    node = balancer_with(entry(1))
    started = make_balancer("a", CODEC, "n", HOSTS[1])
    started.fleet.tables.on_table(crafting.table(3), at(30, 2))
    for one in (node, started):
        list_servers(one, [(entry(1), at(41, 2))], at(57, 2), 1.0)
    node.fleet.tables.on_table(crafting.table(4), at(58, 2))
    node.board.view.advance_to(at(58, 2))
    send_update(node, started)
    assert started.board.table.version == 4


steps = st.lists(
    st.tuples(
        st.sampled_from(
            ["leave", "come", "publish", "evacuate", "copy", "restore"]
            + 2 * ["read"]
            + 3 * ["tell"]
            + ["restart"]
        ),
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, 4),
    ),
    max_size=40,
)


WITHDRAWN_AND_RESTORED = [("evacuate", 0, 0, 0), ("restore", 0, 0, 0)]
"""A reader then removes an evacuation at a revision that others have already.
They notice it by the totals of the update and request the full view."""


class RestorableStore:
    """A platform's store that can be restored from a backup."""

    def __init__(self):
        self.era = 1
        self.count = 1
        self.version, self.version_at = 1, 1
        self.entries = {}
        self.zones = {}
        self.backup = self.state()

    def state(self):
        return (
            self.count,
            (self.version, self.version_at),
            dict(self.entries),
            dict(self.zones),
        )

    def put(self, number, **fields):
        self.count += 1
        name = f"s{number}"
        created = self.entries[name][1] if name in self.entries else self.count
        self.entries[name] = (fields, created, self.count)

    def restore(self):
        """Restores the backup and repeats the writes that it had lost.

        Their order differs, so that counts stand for other changes than before.
        """
        _, (version, _), entries, zones = self.state()
        self.count, (old, old_at), self.entries, self.zones = self.backup
        self.version, self.version_at = old, old_at
        self.era += 1
        names = list(entries)
        random.Random(len(names)).shuffle(names)
        for name in names:
            held = self.entries.get(name)
            if held is None or held[0] != entries[name][0]:
                self.put(name.removeprefix("s"), **entries[name][0])
        for name in set(self.entries) - set(entries):
            self.count += 1
            del self.entries[name]
        for zone in set(zones) ^ set(self.zones):
            self.evacuate(zone)
        if version > self.version:
            self.count += 1
            self.version, self.version_at = version, self.count
        self.backup = self.state()

    def evacuate(self, zone):
        self.count += 1
        if self.zones.pop(zone, None) is None:
            self.zones[zone] = self.count

    def read(self, node, now):
        era = self.era
        table = crafting.table(self.version)
        node.fleet.tables.on_table(table, at(self.version_at, era))
        entries = [
            (
                entry(int(name[1:]), created=at(created, era), **fields),
                at(changed, era),
            )
            for name, (fields, created, changed) in self.entries.items()
        ]
        zones = [(zone, at(when, era)) for zone, when in self.zones.items()]
        list_servers(node, entries, at(self.count, era), now, evacuated=zones)


@settings(max_examples=150, deadline=None)
@given(steps)
@example([("evacuate", 0, 0, 0), ("read", 0, 0, 0), *WITHDRAWN_AND_RESTORED])
def test_views_converge_on_the_newest_state_over_restores(steps):
    """Backups, restores, reads, updates and restarts in any order."""
    platform = RestorableStore()
    nodes = [make_balancer("a", CODEC, str(n), HOSTS[n]) for n in range(3)]
    now = 0.0
    for action, one, other, number in steps:
        now += 0.3
        match action:
            case "leave" if f"s{number}" in platform.entries:
                platform.put(number, draining=True)
            case "come":
                platform.put(number)
            case "publish":
                platform.count += 1
                platform.version += 1
                platform.version_at = platform.count
            case "evacuate":
                platform.evacuate(f"z{number}")
            case "copy":
                platform.backup = platform.state()
            case "restore":
                platform.restore()
            case "read":
                platform.read(nodes[one], now)
            case "restart":
                nodes[one] = make_balancer("a", CODEC, "x", HOSTS[one])
            case "tell" if one != other and nodes[one].board.fleet_known:
                send_update(nodes[one], nodes[other], now)
    for _ in range(2):
        now += 2 * RESTORE_GRACE_S
        platform.read(nodes[0], now)
        for node in nodes[1:]:
            send_update(nodes[0], node, now)
    for node in nodes:
        assert node.board.table.version == platform.version
        assert set(node.board.view.evacuated) == set(platform.zones)
        assert set(node.board.view.servers) == set(platform.entries)
        leaving = {
            name
            for name, (fields, _, _) in platform.entries.items()
            if fields.get("draining")
        }
        assert leaving <= {
            name
            for name, known in node.board.view.servers.items()
            if known.draining
        }
