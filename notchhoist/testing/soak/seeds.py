"""Seeds that have ever failed, each with its cause.

python -m notchhoist.testing.soak.run --regressions
"""

REGRESSIONS = {
    10: "The soak: a route that was dropped twice counted as back too soon.",
    105: "The soak: a reset on a dropped route counted as a broken promise.",
    109: "The soak: the same, twice.",
    110: "The soak: the same, among kills and an absent store.",
    600_005: "The soak: a server that left and started again still counted.",
    600_224: "The soak: daemons of one ended by hand still held its addresses.",
    244: "A request to reload ended daemons that had just been started.",
}
"""By seed, at 20 s of troubles."""
