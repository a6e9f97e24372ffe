"""Demonstration of the command language on a small deployment.

``python -m notchhoist.testing.tour`` starts a deployment with the stand-ins of
the main job, runs a few statements on it, and prints each with its output.
"""

import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import anyio
import orjson

from notchhoist import documents
from notchhoist.cli import main as tool
from notchhoist.cli.fleet_reader import OperatorSettings
from notchhoist.testing import launcher, main_job
from notchhoist.testing.deployment import HALLBOOK

STATEMENTS = (
    "show services",
    "show servers order by server",
    "show revisions",
    "show flows order by server limit 5",
    "show counters where count > 10 order by count desc limit 8",
    "why requests at hallbook-1",
    "drain server hallbook-1 of hallbook",
    "weigh kind nothing of hallbook 5",
    "wait until revision 1 for 5 s",
)


async def _wait_ready(deployment: launcher.Deployment) -> list[str]:
    return await main_job.wait_ready([deployment])


def run_statements(settings: Path, statements: Sequence[str]) -> None:
    """Runs statements with the command-line tool, one after another."""
    for statement in statements:
        print(f"\nnotchhoist> {statement}", flush=True)
        command = tool.Command(settings=settings, statement=statement)
        status = tool.run(command, input)
        print(f"(exit status {status})")


def main() -> int:
    """Runs the demonstration; returns the exit status."""
    with tempfile.TemporaryDirectory(prefix="notchhoist-") as folder:
        plan = main_job.with_fewer_servers(HALLBOOK, 2)
        deployment = launcher.Deployment(Path(folder), 5, (plan,), balancers=2)
        try:
            deployment.start()
            lagging = anyio.run(_wait_ready, deployment)
            main_job.start_callers(deployment)
            deployment.wait("callers-hallbook", main_job.CALLER_LIMIT_S)
            settings = OperatorSettings(
                launcher.OPERATOR_KEY,
                tuple(deployment.operators.values()),
                f"http://{deployment.platform_at}",
            )
            path = Path(folder) / "ops.json"
            path.write_bytes(orjson.dumps(documents.unstructure(settings)))
            run_statements(path, STATEMENTS)
        finally:
            deployment.stop()
    return 1 if lagging else 0


if __name__ == "__main__":
    sys.exit(main())
