"""Regression seeds: those that once failed, each with its cause.

python -m notchhoist.testing.soak.run --regressions
"""

REGRESSIONS = {
    10: "The soak: a route dropped twice was seen as restored too early.",
    105: "The soak: a reset on a dropped route was seen as a violation.",
    109: "The soak: as seed 105, twice.",
    110: "The soak: as seed 105, during kills and a store outage.",
    600_005: "The soak: a server that drained and restarted still counted.",
    600_224: "The soak: daemons of a run ended by hand still held addresses.",
    1_000_091: "The soak: a signal to a process without a handler yet counted.",
    1_000_080: "A port of 5,000 digits in an entry ended every balancer.",
    1_000_081: "A changed host in a control message ended balancers.",
    1_000_082: "A deeply nested configuration ended balancers.",
    1_000_084: "Settings that were half written at a start ended the process.",
    1_000_120: "An address that was still held at a start ended the process.",
    244: "A request to reload terminated daemons that had just started.",
}
"""Causes by seed. The runs had 20 s of troubles; "The soak:" marks a fault of
the soak test itself."""
