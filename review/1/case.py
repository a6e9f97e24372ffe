"""A machine is cut off for long enough that its backend's entry lapses.

The cut alone, without an outage of the store. Long after it, a front machine
is added, opens flows at that backend and is stopped as planned. The front
machines that saw the cut must not reset these flows.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CONTACT_S, Flow, Lab, configuration, play

CUT_S = 11.8
FLOWS = 24


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
    healed_at = time.monotonic()
    traffic = asyncio.ensure_future(send_requests(lab, address))
    await asyncio.sleep(2.0)
    if trouble:
        proxy = lab.proxies[lab.sides[0].bound]
        await proxy.set_cut(True)
        await asyncio.sleep(CUT_S)
        await proxy.set_cut(False)
        healed_at = time.monotonic()
    await asyncio.sleep(CONTACT_S + 4.0)
    lab.on_reset = lambda flow, own: judge(lab, flow, own, healed_at)
    lab.record("planned: a front machine is added")
    added = lab.add_front()
    await lab.add_proxy(added)
    added.start()
    await lab.wait_ready(10.0)
    await asyncio.sleep(CONTACT_S + 1.0)
    traffic.cancel()
    opened = [await lab.clients.open(address) for _ in range(FLOWS)]
    flows = [flow for flow in opened if flow is not None]
    for flow in flows:
        await lab.clients.ask(flow, "/booking", 2.5)
    for backend in lab.backends:
        held = sum(backend.holds(f.own, f.service) for f in flows)
        lab.record(f"backend {backend.server_id} holds {held} flows")
    lab.record(f"planned: {added.name} is stopped")
    stop(lab)
    while added.misses < 2:
        await asyncio.sleep(0.01)
    lab.record(f"{added.name} is out")
    await asyncio.gather(
        *(lab.clients.ask(flow, "/booking", 2.5) for flow in flows)
    )


def stop(lab: Lab) -> None:
    """Stops the added front machine's process as the platform does."""
    process = lab.fronts[-1].process
    if process is not None:
        process.terminate()


async def send_requests(lab: Lab, address: tuple[str, int]) -> None:
    """Sends requests, a flow each, until it is cancelled."""
    while True:
        lab.spawn(send_one(lab, address))
        await asyncio.sleep(0.05)


async def send_one(lab: Lab, address: tuple[str, int]) -> None:
    """Opens a flow for one request and closes it."""
    flow = await lab.clients.open(address)
    if flow is not None:
        await lab.clients.ask(flow, "/traffic", 2.5)
        await lab.clients.close(flow)


def judge(lab: Lab, flow: Flow, own: bool, healed_at: float) -> None:
    """Judges a reset that a client got by the rule FLOW, part (a)."""
    now = time.monotonic()
    holder = [b for b in lab.backends if b.holds(flow.own, flow.service)]
    calm = now - healed_at > CONTACT_S
    text = (
        f"client {flow.own[1]}, flow {now - flow.opened_at:.1f} s old, held by "
        f"{[b.server_id for b in holder]}, {now - healed_at:.1f} s after the "
        "cut"
    )
    if own and holder and calm:
        lab.break_rule("FLOW", f"reset of the system's own: {text}")
    else:
        lab.record(f"reset, no breach: {text}")


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, scenario, proxied=True)
