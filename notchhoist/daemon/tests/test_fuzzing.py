"""A short run of odd inputs for daemons; longer ones are started by hand."""

import pytest

from notchhoist.daemon.tests.fuzzing import INPUTS_PER_LIFE, Fuzzer

SEEDS = range(1, 7)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_input_raises_an_exception_in_a_callback(seed):
    """Changed copies of control messages ended balancers (TypeError)."""
    fuzzer = Fuzzer(seed)
    fuzzer.run(2 * INPUTS_PER_LIFE)
    assert fuzzer.inputs.total() == 2 * INPUTS_PER_LIFE


def test_inputs_are_as_drawn_by_the_seed():
    counters = []
    for _ in range(2):
        fuzzer = Fuzzer(7)
        fuzzer.run(INPUTS_PER_LIFE)
        counters.append(fuzzer.counters)
    assert counters[0] == counters[1]
    assert counters[0]["malformed"] > 0
