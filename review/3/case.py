"""An address goes to another service whose 16-bit tag is the same.

The names of two services have the same tag in the notes of the balancers. A
backend of one of them is gone, and its address goes to a backend of the other
while the platform's store is down, so that no balancer learns of it.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Backend, Lab, Packet, configuration, play

SERVICE = os.environ.get("SERVICE", "report")
OTHER = "program"
DOWN_S = float(os.environ.get("DOWN_S", "4.4"))
REUSE_AFTER_S = 2.2
PAUSE_S = 0.02


async def scenario(lab: Lab, trouble: bool) -> None:
    """Plays the case on a deployment."""
    for _ in range(2):
        lab.add_front()
    gone = lab.add_side(SERVICE)
    for _ in range(3):
        lab.add_side(SERVICE)
    lab.add_side(OTHER)
    address = (f"{lab.prefix}.4.1", 443)
    other_address = (f"{lab.prefix}.4.2", 443)
    routes = {
        "reports": (address, SERVICE),
        "programme": (other_address, OTHER),
    }
    lab.store.put("op/config", configuration(3, routes))
    permitted = {address: SERVICE, other_address: OTHER}
    lab.on_opening = lambda backend, packet: judge_opening(
        lab, backend, packet, permitted
    )
    lab.on_run = lambda backend, number, line: judge_run(
        lab, backend, number, line
    )
    await lab.start()
    ends_at = time.monotonic() + 16.0
    traffic = asyncio.ensure_future(send_requests(lab, address, ends_at))
    await asyncio.sleep(3.0)
    if trouble:
        lab.record(f"{gone.name} is gone, with its backend and daemon")
        lab.backends[0].crash()
        gone.kill()
        await asyncio.sleep(1.0)
        if DOWN_S:
            lab.store.down = True
            lab.record("the store is down (silent)")
        await asyncio.sleep(REUSE_AFTER_S - 1.0)
        lab.record(f"the address of {gone.name} goes to {OTHER}")
        gone.service = OTHER
        gone.start()
        await lab.add_backend(gone, OTHER).start()
        if DOWN_S:
            await asyncio.sleep(DOWN_S - (REUSE_AFTER_S - 1.0))
            lab.store.down = False
            lab.record("the store is back")
    await traffic


async def send_requests(
    lab: Lab, address: tuple[str, int], ends_at: float
) -> None:
    """Sends requests for reports, a flow each."""
    pending: set[asyncio.Task[None]] = set()
    while time.monotonic() < ends_at:
        task = asyncio.ensure_future(send_one(lab, address))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*pending)


async def send_one(lab: Lab, address: tuple[str, int]) -> None:
    """Opens a flow for one request and closes it."""
    flow = await lab.clients.open(address)
    if flow is not None:
        await lab.clients.ask(flow, "/reports", 2.5)
        await lab.clients.close(flow)


def judge_opening(
    lab: Lab,
    backend: Backend,
    packet: Packet,
    permitted: dict[tuple[str, int], str],
) -> None:
    """Writes down an opening packet that no configuration permits."""
    if permitted[packet.dst] != backend.service:
        lab.record(
            f"backend {backend.server_id} of {backend.service} takes the "
            f"opening packet of client {packet.src[1]} to {packet.dst[0]}"
        )


def judge_run(lab: Lab, backend: Backend, number: str, line: str) -> None:
    """Judges by the rule ROUTE which service runs a request."""
    text = (
        f"backend {backend.server_id} of {backend.service} runs {number}"
        f" ({line})"
    )
    if backend.service != SERVICE:
        lab.break_rule("ROUTE", text)
    else:
        lab.record(text)


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, scenario)
