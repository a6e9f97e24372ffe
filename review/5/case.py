"""All machines lose power; soon after, every daemon is killed."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as standins

COLD_S = 2.0
DOWN_S = 1.2
REST_S = 6.0


async def start_again(world: standins.World) -> None:
    """Starts all daemons again, without the mark of the first start."""
    for daemon in world.fronts + world.agents:
        daemon.start(bootstrap=False)


def kill_all(world: standins.World) -> None:
    """Kills all daemons at the same moment."""
    for daemon in world.fronts + world.agents:
        daemon.send_signal(signal.SIGKILL)
    for daemon in world.fronts + world.agents:
        if daemon.process is not None:
            daemon.process.wait()


async def lose_power(world: standins.World) -> None:
    """Takes the power from all machines; they start 1.2 s later."""
    world.note("all machines lose power")
    kill_all(world)
    for backend in world.backends:
        backend.crash()
    await asyncio.sleep(DOWN_S)
    for backend in world.backends:
        await backend.reborn(COLD_S)
    await start_again(world)
    world.note("all machines are back; backends are slow for 2 s")


async def open_flows(world: standins.World) -> list[standins.Client]:
    """Opens flows until some are open, and uses each once."""
    clients = []
    for _ in range(30):
        clients.append(world.new_client())
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.2)
    for client in clients:
        if client.state == "open":
            client.ask(900, 30)
    await asyncio.sleep(0.2)
    return [item for item in clients if item.answers and item.state == "open"]


async def play(world: standins.World, trouble: bool) -> bool:
    """Loses power, opens flows, kills the daemons, goes on after a rest."""
    await asyncio.sleep(2.0)
    await lose_power(world)
    for ip in world.front_ips + [item.ip for item in world.agents]:
        if not await world.wait_ready(ip):
            return False
    clients = await open_flows(world)
    world.note(f"{len(clients)} open flows that rest now")
    if len(clients) < 5:
        return False
    if trouble:
        world.note("every daemon is killed")
        kill_all(world)
        await asyncio.sleep(0.2)
        await start_again(world)
    await asyncio.sleep(REST_S)
    for client in clients:
        client.ask(900, 30)
        await asyncio.sleep(0.05)
    await asyncio.sleep(5.0)
    return True


if __name__ == "__main__":
    sys.exit(standins.run(play, Path(__file__).resolve().parent))
