"""Tests of the arguments of the project's command-line programs."""

import cappa
import pytest

from notchhoist.cli import flow_story, losses
from notchhoist.testing.opaque import changes, experiment, page, restores
from notchhoist.testing.soak import run as soak

COMMANDS = {
    "losses": losses.Command,
    "flow-story": flow_story.Command,
    "changes": changes.Command,
    "experiment": experiment.Command,
    "page": page.Command,
    "restores": restores.Command,
    "soak": soak.Command,
}


@pytest.mark.parametrize("command", COMMANDS.values(), ids=COMMANDS)
def test_no_option_is_required(command):
    """Options are optional, also those with a falsy default.

    Two options with default 0.0 were required, so the README's command failed.
    """
    arguments = cappa.collect(command).arguments
    assert not [
        argument.field_name
        for argument in arguments
        if argument.required and (argument.long or argument.short)
    ]


def test_readme_command_is_parsed():
    text = ["quiet", "--seconds", "60"]
    command = cappa.parse(experiment.Command, argv=text)
    assert (command.scenario, command.seconds) == ("quiet", 60.0)
