"""A route gets another service; then every balancer is killed."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as standins

REST_S = 6.0


async def play(world: standins.World, trouble: bool) -> bool:
    """Opens flows, changes the route, kills balancers, goes on later."""
    world.configure(100)
    await asyncio.sleep(1.5)
    clients = []
    for _ in range(20):
        clients.append(world.new_client())
        await asyncio.sleep(0.01)
    await asyncio.sleep(1.0)
    for client in clients:
        client.ask(900, 30)
        await asyncio.sleep(0.02)
    await asyncio.sleep(1.0)
    clients = [item for item in clients if item.answers]
    world.note(f"{len(clients)} open flows that rest now")
    if len(clients) < 5:
        return False
    world.configure(107, "booking-next")
    world.note("version 107: the route goes to booking-next")
    await asyncio.sleep(5.0)
    if trouble:
        world.note("both daemons that take packets are killed")
        for daemon in world.fronts:
            daemon.send_signal(signal.SIGKILL)
        for daemon in world.fronts:
            if daemon.process is not None:
                daemon.process.wait()
        await asyncio.sleep(0.2)
        for daemon in world.fronts:
            daemon.start(bootstrap=False)
    await asyncio.sleep(REST_S)
    for client in clients:
        client.ask(900, 30)
        await asyncio.sleep(0.05)
    await asyncio.sleep(4.0)
    return True


if __name__ == "__main__":
    here = Path(__file__).resolve().parent
    sys.exit(standins.run(play, here, others=2))
