"""The troubles of a soak, each of which begins, lasts and ends by itself."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
import signal
from collections.abc import Awaitable, Callable, Iterator

from emulator.soak.environment import World
from emulator.soak.gateways import SoakGateway
from emulator.soak.proxy import Fault
from emulator.soak.standins import FontServer, Manner, started_now

HOLD_UP = 0.15  # seconds for which a process may be held up
PART_OF_SERVERS, PART_OF_GATEWAYS = 0.25, 0.35
STEPS = (3600.0, -3600.0, 5.0, -5.0)  # seconds by which a wall clock is stepped
ACCEPT_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ECONNABORTED)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
PRESSES = (0.04, 0.02, 0.3)  # seconds between the commands of clients that send on through a restart
SYSTEM_LASTS = 0.5  # seconds for which system calls fail at a time

Play = Callable[[World, random.Random, float], Awaitable[str]]


def some_servers(world: World, generator: random.Random) -> list[FontServer]:
    """A part of the servers that are up."""
    up = [server for server in world.servers if server.state == "up"]
    return generator.sample(up, max(1, int(PART_OF_SERVERS * len(up))))


def some_gateways(world: World, generator: random.Random) -> list[SoakGateway]:
    """A part of the gateways that run."""
    running = [gateway for gateway in world.gateways if gateway.ready]
    return generator.sample(running, min(len(running), max(1, int(PART_OF_GATEWAYS * len(running)))))


@contextlib.contextmanager
def for_restart(world: World, generator: random.Random) -> Iterator[list[SoakGateway]]:
    """A part of the gateways, which no other trouble ends or starts meanwhile."""
    gateways = [gateway for gateway in some_gateways(world, generator) if not gateway.changing]
    for gateway in gateways:
        gateway.changing = True
    try:
        yield gateways
    finally:
        for gateway in gateways:
            gateway.changing = False


def server_manner(manner: Manner) -> Play:
    """Some servers behave so for a while."""

    async def play(world: World, generator: random.Random, seconds: float) -> str:
        servers = some_servers(world, generator)
        for server in servers:
            server.manner = manner
        await asyncio.sleep(seconds)
        for server in servers:
            if server.manner is manner:
                server.manner = Manner.SOUND
        return ",".join(server.name for server in servers)

    return play


def server_link(fault: Fault) -> Play:
    """The way to some servers has a fault for a while."""

    async def play(world: World, generator: random.Random, seconds: float) -> str:
        servers = some_servers(world, generator)
        for server in servers:
            server.link.set(fault)
            if fault in (Fault.LATE, Fault.CUT) and generator.random() < 0.5:
                server.link.reset_all()  # so that new connections are needed
        await asyncio.sleep(seconds)
        for server in servers:
            server.link.set(Fault.NONE)
        return ",".join(server.name for server in servers)

    return play


async def drain(world: World, generator: random.Random, seconds: float) -> str:
    """Some servers drain, are removed, and new ones start cold."""
    servers = some_servers(world, generator)
    for server in servers:
        world.change_state(server, "draining")
        await asyncio.sleep(0.1 * generator.random())
    await asyncio.sleep(seconds / 2)
    for server in servers:
        await world.add_server(cold=True)
        world.remove(server)
    await asyncio.sleep(seconds / 2)
    return ",".join(server.name for server in servers)


async def crash(world: World, generator: random.Random, seconds: float) -> str:
    """Some servers die and come back cold, at their addresses."""
    servers = some_servers(world, generator)
    for server in servers:
        server.link.set(Fault.REFUSED)
        server.link.reset_all()
    await asyncio.sleep(seconds)
    for server in servers:
        server.link.set(Fault.NONE)
        server.started_ms = started_now(world.record, server.name)
        world.change_state(server, server.state)
    return ",".join(server.name for server in servers)


def agent_link(fault: Fault) -> Play:
    """The way to discovery has a fault at some gateways for a while."""

    async def play(world: World, generator: random.Random, seconds: float) -> str:
        gateways = some_gateways(world, generator)
        links = [link for gateway in gateways for link in gateway.agent.links]
        for link in links:
            link.set(fault)
        await asyncio.sleep(seconds)
        for link in links:
            link.set(Fault.NONE)
        return ",".join(str(gateway.index) for gateway in gateways)

    return play


def counter_link(fault: Fault) -> Play:
    """The way to the counter has a fault for a while."""

    async def play(world: World, generator: random.Random, seconds: float) -> str:
        for link in world.counter.links:
            link.set(fault)
        await asyncio.sleep(seconds)
        if generator.random() < 0.5:
            world.counter.totals.clear()  # it comes back empty
        for link in world.counter.links:
            link.set(Fault.NONE)
        return ""

    return play


async def reload(world: World, generator: random.Random, seconds: float) -> str:
    """New configurations, one soon after the other, name other addresses of discovery and counter."""
    gateways = some_gateways(world, generator)
    for _ in range(generator.randrange(1, 4)):
        for gateway in gateways:
            gateway.address = 1 - gateway.address
            gateway.write_configuration(world.counter, world.listed)
            gateway.signal(signal.SIGHUP)
        await asyncio.sleep(generator.random() * seconds / 3)
    return ",".join(str(gateway.index) for gateway in gateways)


async def restart_one(world: World, generator: random.Random, gateway: SoakGateway) -> None:
    """One planned restart, while some clients send on."""
    for every in PRESSES:
        world.crowd.spawn(world.crowd.press(gateway.index, every))
    await asyncio.sleep(PRESSES[0])
    ending = asyncio.get_running_loop().create_task(gateway.terminate())
    await asyncio.sleep(generator.random() * 0.3)
    if generator.random() < 0.3:
        gateway.signal(signal.SIGTERM)
    if generator.random() < 0.3:
        gateway.signal(signal.SIGHUP)
    await ending
    await gateway.start(world.counter, world.listed)


async def restart(world: World, generator: random.Random, seconds: float) -> str:
    """Planned restarts, some of them with a second SIGTERM or a SIGHUP on the way."""
    with for_restart(world, generator) as gateways:
        await asyncio.gather(*(restart_one(world, generator, gateway) for gateway in gateways))
    return ",".join(str(gateway.index) for gateway in gateways)


async def kill(world: World, generator: random.Random, seconds: float) -> str:
    """Gateways are killed at once and start again."""
    with for_restart(world, generator) as gateways:
        await asyncio.gather(*(gateway.kill() for gateway in gateways))
        await asyncio.sleep(0.2)
        await asyncio.gather(*(gateway.start(world.counter, world.listed) for gateway in gateways))
    return ",".join(str(gateway.index) for gateway in gateways)


async def hold_up(world: World, generator: random.Random, seconds: float) -> str:
    """Gateways are stopped for 0.15 s now and then, and some of their writes come late."""
    gateways = some_gateways(world, generator)
    until = asyncio.get_running_loop().time() + seconds
    for gateway in gateways:
        gateway.faults.hold_up_writes(HOLD_UP / 2, every=100)
    while asyncio.get_running_loop().time() < until:
        gateway = generator.choice(gateways)
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(HOLD_UP)
        gateway.signal(signal.SIGCONT)
        await asyncio.sleep(0.3)
    for gateway in gateways:
        gateway.faults.hold_up_writes(0.0, every=0)
    return ",".join(str(gateway.index) for gateway in gateways)


async def accept(world: World, generator: random.Random, seconds: float) -> str:
    """Calls of accept fail for a moment."""
    gateways, number = some_gateways(world, generator), generator.choice(ACCEPT_ERRORS)
    for gateway in gateways:
        gateway.faults.fail_accept(number, every=generator.choice((1, 2)))
    await asyncio.sleep(min(seconds, SYSTEM_LASTS))
    for gateway in gateways:
        gateway.faults.fail_accept(0)
    return f"{errno.errorcode[number]} " + ",".join(str(gateway.index) for gateway in gateways)


async def connect(world: World, generator: random.Random, seconds: float) -> str:
    """Calls of connect and socket fail for a moment."""
    gateways, number = some_gateways(world, generator), generator.choice(CONNECT_ERRORS)
    for gateway in gateways:
        gateway.faults.fail_connect(number, every=generator.choice((1, 3)))
        gateway.faults.fail_socket(errno.ENFILE, every=4)
    for server in some_servers(world, generator):
        server.link.reset_all()  # so that connections are needed
    await asyncio.sleep(min(seconds, SYSTEM_LASTS))
    for gateway in gateways:
        gateway.faults.fail_connect(0)
        gateway.faults.fail_socket(0)
    return f"{errno.errorcode[number]} " + ",".join(str(gateway.index) for gateway in gateways)


async def transfers(world: World, generator: random.Random, seconds: float) -> str:
    """Reads and writes move a few bytes at a time, and some end with EINTR."""
    gateways = some_gateways(world, generator)
    for gateway in gateways:
        gateway.faults.cut_transfers(generator.choice((100, 1000)))
        gateway.faults.interrupt(every=20)
    await asyncio.sleep(seconds)
    for gateway in gateways:
        gateway.faults.cut_transfers(0)
        gateway.faults.interrupt(every=0)
    return ",".join(str(gateway.index) for gateway in gateways)


async def clock(world: World, generator: random.Random, seconds: float) -> str:
    """The wall clock of some gateways is stepped, and back later."""
    gateways, step = some_gateways(world, generator), generator.choice(STEPS)
    for gateway in gateways:
        gateway.faults.step_wall_clock(step)
    await asyncio.sleep(seconds)
    for gateway in gateways:
        gateway.faults.step_wall_clock(0.0)
    return f"{step:+.0f} s " + ",".join(str(gateway.index) for gateway in gateways)


async def leave(world: World, generator: random.Random, seconds: float) -> str:
    """Clients leave early, in bursts, and many commands come at once."""
    before, world.crowd.leaving = world.crowd.leaving, 0.3
    until = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < until:
        world.crowd.spawn(world.crowd.burst(generator.randrange(3, 12), leave=generator.random() < 0.5))
        await asyncio.sleep(0.2)
    world.crowd.leaving = before
    return ""


async def bad_clients(world: World, generator: random.Random, seconds: float) -> str:
    """Bad clients of all kinds, and such that ask just as their connection ends."""
    until = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < until:
        world.crowd.spawn(world.crowd.misbehave())
        world.crowd.spawn(world.crowd.rest_and_cross())
        await asyncio.sleep(0.05)
    return ""


async def slow_clients(world: World, generator: random.Random, seconds: float) -> str:
    """Clients write their commands in two parts."""
    before, world.crowd.slow = world.crowd.slow, 0.4
    await asyncio.sleep(seconds)
    world.crowd.slow = before
    return ""


TROUBLES: dict[str, Play] = {
    "server-hangs": server_manner(Manner.HANGS),
    "server-errs": server_manner(Manner.ERRS),
    "server-busy": server_manner(Manner.BUSY),
    "server-spoils": server_manner(Manner.SPOILS),
    "server-late": server_link(Fault.LATE),
    "server-cut": server_link(Fault.CUT),
    "server-resets": server_link(Fault.RESET),
    "server-half": server_link(Fault.HALF),
    "server-stalls": server_link(Fault.STALLED),
    "server-pieces": server_link(Fault.PIECES),
    "drain": drain,
    "crash": crash,
    "discovery-cut": agent_link(Fault.CUT),
    "discovery-resets": agent_link(Fault.RESET),
    "discovery-half": agent_link(Fault.HALF),
    "watch-stalls": agent_link(Fault.STALLED),
    "discovery-pieces": agent_link(Fault.PIECES),
    "counter-cut": counter_link(Fault.CUT),
    "counter-resets": counter_link(Fault.RESET),
    "counter-stalls": counter_link(Fault.STALLED),
    "reload": reload,
    "restart": restart,
    "kill": kill,
    "hold-up": hold_up,
    "accept": accept,
    "connect": connect,
    "transfers": transfers,
    "clock": clock,
    "leave": leave,
    "bad-clients": bad_clients,
    "slow-clients": slow_clients,
}
