"""Faults and planned operations that a run injects, by name."""

import random
from collections.abc import Callable

import attrs

from notchhoist.testing.soak.configuration_troubles import (
    ODD_VERSIONS_S,
    WEIGHT_CHANGES_S,
    change_configuration,
    change_weights,
    drop_route,
    odd_configuration,
)
from notchhoist.testing.soak.entry_troubles import (
    odd_evacuations,
    odd_live_entries,
    odd_new_entries,
)
from notchhoist.testing.soak.fleet import Fleet
from notchhoist.testing.soak.healing import Heal
from notchhoist.testing.soak.path_troubles import (
    cut_off,
    cut_one_way,
    damaged_messages,
    garbage,
    lossy,
    split,
)
from notchhoist.testing.soak.process_troubles import (
    ROLL_GAP_S,
    kill_agents,
    kill_all,
    kill_balancers,
    pause_some,
    reload_all,
    roll_balancers,
)
from notchhoist.testing.soak.server_troubles import (
    DRAIN_TIME_S,
    HEARTBEAT_S,
    crash_servers,
    evacuate_zone,
    power_off,
    replace_servers,
    restart_servers,
    strange_entries,
)
from notchhoist.testing.soak.start_troubles import (
    HALF_WRITTEN_MAX_S,
    HELD_MAX_S,
    REWRITING_S,
    SIGNALS_S,
    addresses_held,
    settings_half_written,
    settings_rewritten,
    signals_at_start,
)
from notchhoist.testing.soak.store_troubles import (
    connections_reset,
    connections_silent,
    damaged_answers,
    history_forgotten,
    store_gone,
    store_partly_gone,
    store_restored,
    store_slow,
)


@attrs.frozen
class Trouble:
    """One kind of fault or planned operation.

    Attributes:
        begin: Starts it and returns the function that heals it.
        planned: Whether it is a planned operation: time bounds still hold.
        lasts: Whether it lasts until it is healed.
        takes_s: Minimum time that it takes, healed or not, seconds.
    """

    begin: Callable[[Fleet, random.Random], Heal]
    planned: bool = False
    lasts: bool = False
    takes_s: float = 0.0


TROUBLES = {
    "kill-balancers": Trouble(kill_balancers),
    "kill-agents": Trouble(kill_agents),
    "kill-all": Trouble(kill_all),
    "pause-some": Trouble(pause_some, lasts=True),
    "roll-balancers": Trouble(
        roll_balancers, planned=True, takes_s=3 * ROLL_GAP_S
    ),
    "reload-all": Trouble(reload_all, planned=True),
    "cut-off": Trouble(cut_off, lasts=True),
    "cut-one-way": Trouble(cut_one_way, lasts=True),
    "split": Trouble(split, lasts=True),
    "lossy": Trouble(lossy, lasts=True),
    "garbage": Trouble(garbage, planned=True),
    "store-gone": Trouble(store_gone, lasts=True),
    "store-partly-gone": Trouble(store_partly_gone, lasts=True),
    "store-slow": Trouble(store_slow, lasts=True),
    "connections-silent": Trouble(connections_silent),
    "connections-reset": Trouble(connections_reset),
    "history-forgotten": Trouble(history_forgotten),
    "crash-servers": Trouble(crash_servers),
    "power-off": Trouble(power_off),
    "replace-servers": Trouble(
        replace_servers, planned=True, takes_s=DRAIN_TIME_S
    ),
    "change-configuration": Trouble(change_configuration, planned=True),
    "drop-route": Trouble(drop_route, planned=True, lasts=True),
}
LATER_TROUBLES = {
    "evacuate-zone": Trouble(evacuate_zone, planned=True, lasts=True),
    "restart-servers": Trouble(restart_servers),
    "strange-entries": Trouble(strange_entries, planned=True),
}
"""Drawn only by seeds from ``plan.LATER_SEEDS`` on, so that the plans of lower
seeds do not change."""

NEWEST_TROUBLES = {"store-restored": Trouble(store_restored, lasts=True)}
"""Likewise, for seeds from ``plan.NEWEST_SEEDS`` on."""

SPLIT_TROUBLES = {
    "change-weights": Trouble(
        change_weights,
        planned=True,
        lasts=True,
        takes_s=WEIGHT_CHANGES_S + ROLL_GAP_S,
    )
}
"""Likewise, for seeds from ``plan.SPLIT_SEEDS`` on."""

SURROUNDINGS_TROUBLES = {
    "odd-new-entries": Trouble(odd_new_entries, planned=True, lasts=True),
    "odd-live-entries": Trouble(odd_live_entries, takes_s=HEARTBEAT_S),
    "odd-evacuations": Trouble(odd_evacuations, planned=True, lasts=True),
    "odd-configuration": Trouble(odd_configuration, takes_s=ODD_VERSIONS_S),
    "addresses-held": Trouble(addresses_held, takes_s=HELD_MAX_S),
    "settings-half-written": Trouble(
        settings_half_written, takes_s=HALF_WRITTEN_MAX_S
    ),
    "settings-rewritten": Trouble(
        settings_rewritten, planned=True, takes_s=REWRITING_S
    ),
    "signals-at-start": Trouble(signals_at_start, takes_s=SIGNALS_S),
    "damaged-messages": Trouble(damaged_messages, lasts=True),
    "damaged-answers": Trouble(damaged_answers, lasts=True),
}
"""Likewise, for seeds from ``plan.SURROUNDINGS_SEEDS`` on: what surrounds a
process on a real machine."""

ALL_TROUBLES = (
    TROUBLES
    | LATER_TROUBLES
    | NEWEST_TROUBLES
    | SPLIT_TROUBLES
    | SURROUNDINGS_TROUBLES
)
