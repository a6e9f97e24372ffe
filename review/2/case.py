"""A route gets another service, then all balancers are killed at once.

A flow that was opened before the change stays with its backend. Its next
request comes long after the balancers are back, and must not be reset.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CONTACT_S, Flow, Lab, configuration, play

FLOWS = 12


async def scenario(lab: Lab, trouble: bool) -> None:
    """Plays the case on a deployment."""
    for _ in range(2):
        lab.add_front()
    for service in ("hallbook", "hallbook", "hallbook-b", "hallbook-b"):
        lab.add_side(service)
    address = (f"{lab.prefix}.4.1", 443)
    lab.store.put(
        "op/config", configuration(3, {"booking": (address, "hallbook")})
    )
    lab.on_reset = lambda flow, own: judge(lab, flow, own)
    await lab.start()
    flows = [await lab.clients.open(address) for _ in range(FLOWS)]
    open_flows = [flow for flow in flows if flow is not None]
    if len(open_flows) < FLOWS:
        raise RuntimeError("a flow did not open before the disruption")
    await ask_all(lab, open_flows)
    lab.store.put(
        "op/config", configuration(7, {"booking": (address, "hallbook-b")})
    )
    lab.record("acknowledged: version 7, booking goes to hallbook-b")
    await asyncio.sleep(4.0)
    fresh = await lab.clients.open(address)
    if fresh is None or "answered" not in await lab.clients.ask(
        fresh, "/new", 2.5
    ):
        raise RuntimeError("no new flow under the new version")
    await lab.clients.close(fresh)
    await ask_all(lab, open_flows)
    if trouble:
        for front in lab.fronts:
            front.kill()
        await asyncio.sleep(0.5)
        for front in lab.fronts:
            front.start()
        await asyncio.sleep(0.3)
        await lab.wait_ready(10.0)
    await asyncio.sleep(CONTACT_S + 2.0)
    await ask_all(lab, open_flows)


async def ask_all(lab: Lab, flows: list[Flow]) -> None:
    """Sends a request on each flow, one after the other."""
    for flow in flows:
        await lab.clients.ask(flow, "/booking", 2.5)


def judge(lab: Lab, flow: Flow, own: bool) -> None:
    """Judges a reset that a client got by the rule FLOW, part (a)."""
    now = time.monotonic()
    holder = [b for b in lab.backends if b.holds(flow.own, flow.service)]
    calm = all(
        machine.process is not None and now - machine.started_at > CONTACT_S
        for machine in [*lab.fronts, *lab.sides]
    )
    text = (
        f"client {flow.own[1]}, flow {now - flow.opened_at:.1f} s old, held by "
        f"{[b.server_id for b in holder]}, all machines in touch: {calm}"
    )
    if own and holder and calm:
        lab.break_rule("FLOW", f"reset of the system's own: {text}")
    else:
        lab.record(f"reset, no breach: {text}")


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, scenario)
