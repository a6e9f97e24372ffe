"""A front machine freezes; long after, a side machine loses power.

Opening packets that waited at the frozen balancer are offered once more when
it wakes, though their flows have opened through the other balancer. The loss
of the machine that took them in vain must not end those flows.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CONTACT_S, Flow, Lab, Machine, configuration, play

FREEZE_S = 4.9
ATTEMPTS = 120
"""Flows that are opened while the routers still use the frozen machine."""


async def scenario(lab: Lab, trouble: bool) -> None:
    """Plays the case on a deployment."""
    for _ in range(2):
        lab.add_front()
    for _ in range(4):
        lab.add_side("hallbook")
    address = (f"{lab.prefix}.4.1", 443)
    lab.store.put(
        "op/config", configuration(3, {"booking": (address, "hallbook")})
    )
    await lab.start()
    front = lab.fronts[0]
    if trouble:
        front.send(signal.SIGSTOP)
    began = time.monotonic()
    await asyncio.sleep(0.6)
    opened = await asyncio.gather(
        *(
            open_later(lab, address, 0.007 * number)
            for number in range(ATTEMPTS)
        )
    )
    flows = [flow for flow in opened if flow is not None]
    lab.record(f"{len(flows)} of {ATTEMPTS} flows opened")
    await asyncio.gather(
        *(lab.clients.ask(flow, "/booking", 2.5) for flow in flows)
    )
    await asyncio.sleep(max(0.0, began + FREEZE_S - time.monotonic()))
    if trouble:
        front.send(signal.SIGCONT)
    woke_at = time.monotonic()
    await asyncio.sleep(CONTACT_S + 2.0)
    lost = lab.sides[0]
    lab.on_reset = lambda flow, own: judge(lab, flow, own, woke_at, lost)
    if trouble:
        lab.record(f"{lost.name} loses power")
        lab.backends[0].crash()
        lost.kill()
        await lab.silence(lost)
    await asyncio.gather(
        *(lab.clients.ask(flow, "/booking", 2.5) for flow in flows)
    )


async def open_later(
    lab: Lab, address: tuple[str, int], delay_s: float
) -> Flow | None:
    """Opens a flow after a delay."""
    await asyncio.sleep(delay_s)
    return await lab.clients.open(address)


def judge(
    lab: Lab, flow: Flow, own: bool, woke_at: float, lost: Machine
) -> None:
    """Judges a reset that a client got by the rule FLOW, part (a)."""
    now = time.monotonic()
    holder = [b for b in lab.backends if b.holds(flow.own, flow.service)]
    calm = now - woke_at > CONTACT_S and all(
        backend.machine is not lost for backend in holder
    )
    text = (
        f"client {flow.own[1]}, flow {now - flow.opened_at:.1f} s old, held by "
        f"{[b.server_id for b in holder]}, {now - woke_at:.1f} s after the "
        "freeze"
    )
    if own and holder and calm:
        lab.break_rule("FLOW", f"reset of the system's own: {text}")
    else:
        lab.record(f"reset, no breach: {text}")


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, scenario)
