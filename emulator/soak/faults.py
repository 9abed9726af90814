"""The faults of a soak. Each function injects one fault, waits for its duration and removes it."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
import signal
from collections.abc import Awaitable, Callable, Iterator

from emulator.soak.environment import SoakEnvironment
from emulator.soak.gateways import SoakGateway
from emulator.soak.proxy import ProxyFault
from emulator.soak.standins import ServerBehavior, SoakServer, record_server_start

MAX_PAUSE = 0.15  # seconds for which a process may be paused
SERVER_SHARE = 0.25  # share of the servers that one fault affects
GATEWAY_SHARE = 0.35  # share of the gateways that one fault affects
EMPTY_LIST_DURATION = 3.0  # seconds; long enough for attempts later than the drain grace
FLOOD_INTERVAL = 0.4  # seconds between two clients that send hundreds of commands at once
CLOCK_STEPS = (3600.0, -3600.0, 5.0, -5.0)  # seconds
ACCEPT_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ECONNABORTED)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
SEND_INTERVALS = (0.04, 0.02, 0.3)  # seconds between commands of clients that keep sending during a restart
MAX_SYSTEM_CALL_FAULT_DURATION = 0.5  # seconds

# Injects a fault for some seconds and returns which servers or gateways it affected.
FaultFunction = Callable[[SoakEnvironment, random.Random, float], Awaitable[str]]


def sample_servers(environment: SoakEnvironment, generator: random.Random) -> list[SoakServer]:
    """Returns a random share of the servers that are up, at least one."""
    available = [server for server in environment.servers if server.state == "up"]
    return generator.sample(available, max(1, int(SERVER_SHARE * len(available))))


def sample_gateways(environment: SoakEnvironment, generator: random.Random) -> list[SoakGateway]:
    """Returns a random share of the gateways that are ready, at least one if any is ready."""
    running = [gateway for gateway in environment.gateways if gateway.ready]
    return generator.sample(running, min(len(running), max(1, int(GATEWAY_SHARE * len(running)))))


@contextlib.contextmanager
def reserve_for_restart(
    environment: SoakEnvironment, generator: random.Random
) -> Iterator[list[SoakGateway]]:
    """Samples gateways that no other fault stops or starts until the context ends."""
    gateways = [gateway for gateway in sample_gateways(environment, generator) if not gateway.restarting]
    for gateway in gateways:
        gateway.restarting = True
    try:
        yield gateways
    finally:
        for gateway in gateways:
            gateway.restarting = False


def server_behavior_fault(behavior: ServerBehavior) -> FaultFunction:
    """Returns a fault that changes the behavior of some servers."""

    async def inject(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
        servers = sample_servers(environment, generator)
        for server in servers:
            server.behavior = behavior
        await asyncio.sleep(seconds)
        for server in servers:
            if server.behavior is behavior:
                server.behavior = ServerBehavior.NORMAL
        return ",".join(server.name for server in servers)

    return inject


def server_proxy_fault(fault: ProxyFault) -> FaultFunction:
    """Returns a fault that affects the network connection to some servers."""

    async def inject(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
        servers = sample_servers(environment, generator)
        for server in servers:
            server.proxy.set_fault(fault)
            if fault in (ProxyFault.DELAYED, ProxyFault.PARTITIONED) and generator.random() < 0.5:
                server.proxy.reset_connections()  # forces new connections
        await asyncio.sleep(seconds)
        for server in servers:
            server.proxy.set_fault(ProxyFault.NONE)
        return ",".join(server.name for server in servers)

    return inject


async def drain_servers(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Drains and removes some servers, and adds new servers in slow start."""
    servers = sample_servers(environment, generator)
    for server in servers:
        environment.set_server_state(server, "draining")
        await asyncio.sleep(0.1 * generator.random())
    await asyncio.sleep(seconds / 2)
    for server in servers:
        await environment.add_server(slow_start=True)
        environment.remove_server(server)
    await asyncio.sleep(seconds / 2)
    return ",".join(server.name for server in servers)


async def crash_servers(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Crashes some servers and restarts them in slow start at the same addresses."""
    servers = sample_servers(environment, generator)
    for server in servers:
        server.proxy.set_fault(ProxyFault.REFUSED)
        server.proxy.reset_connections()
    await asyncio.sleep(seconds)
    for server in servers:
        server.proxy.set_fault(ProxyFault.NONE)
        server.started_ms = record_server_start(environment.record, server.name)
        environment.set_server_state(server, server.state)
    return ",".join(server.name for server in servers)


def discovery_proxy_fault(fault: ProxyFault) -> FaultFunction:
    """Returns a fault that affects the network connection between some gateways and discovery."""

    async def inject(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
        gateways = sample_gateways(environment, generator)
        proxies = [proxy for gateway in gateways for proxy in gateway.agent.proxies]
        for proxy in proxies:
            proxy.set_fault(fault)
        await asyncio.sleep(seconds)
        for proxy in proxies:
            proxy.set_fault(ProxyFault.NONE)
        return ",".join(str(gateway.index) for gateway in gateways)

    return inject


def counter_proxy_fault(fault: ProxyFault) -> FaultFunction:
    """Returns a fault that affects the network connection to the counter."""

    async def inject(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
        for proxy in environment.counter.proxies:
            proxy.set_fault(fault)
        await asyncio.sleep(seconds)
        if generator.random() < 0.5:
            environment.counter.totals.clear()  # the counter lost its totals
        for proxy in environment.counter.proxies:
            proxy.set_fault(ProxyFault.NONE)
        return ""

    return inject


async def reload_gateways(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Reloads some gateways one to three times with other addresses of discovery and the counter."""
    gateways = sample_gateways(environment, generator)
    for _ in range(generator.randrange(1, 4)):
        for gateway in gateways:
            gateway.address_index = 1 - gateway.address_index
            gateway.write_configuration(environment.counter, environment.server_list)
            gateway.signal(signal.SIGHUP)
        await asyncio.sleep(generator.random() * seconds / 3)
    return ",".join(str(gateway.index) for gateway in gateways)


async def restart_gateway(
    environment: SoakEnvironment, generator: random.Random, gateway: SoakGateway
) -> None:
    """Restarts a gateway while some clients keep sending, sometimes with a further SIGTERM or SIGHUP."""
    for interval in SEND_INTERVALS:
        environment.clients.spawn(environment.clients.send_until_closed(gateway.index, interval))
    await asyncio.sleep(SEND_INTERVALS[0])
    termination = asyncio.get_running_loop().create_task(gateway.terminate())
    await asyncio.sleep(generator.random() * 0.3)
    if generator.random() < 0.3:
        gateway.signal(signal.SIGTERM)
    if generator.random() < 0.3:
        gateway.signal(signal.SIGHUP)
    await termination
    await gateway.start(environment.counter, environment.server_list)


async def restart_gateways(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Restarts some gateways with SIGTERM."""
    with reserve_for_restart(environment, generator) as gateways:
        await asyncio.gather(*(restart_gateway(environment, generator, gateway) for gateway in gateways))
    return ",".join(str(gateway.index) for gateway in gateways)


async def kill_gateways(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Kills some gateways with SIGKILL at the same time and starts them again."""
    with reserve_for_restart(environment, generator) as gateways:
        await asyncio.gather(*(gateway.kill() for gateway in gateways))
        await asyncio.sleep(0.2)
        await asyncio.gather(
            *(gateway.start(environment.counter, environment.server_list) for gateway in gateways)
        )
    return ",".join(str(gateway.index) for gateway in gateways)


async def pause_gateways(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Pauses gateways repeatedly for 0.15 s with SIGSTOP and delays one in 100 of their writes."""
    gateways = sample_gateways(environment, generator)
    until = asyncio.get_running_loop().time() + seconds
    for gateway in gateways:
        gateway.fault_injector.delay_writes(MAX_PAUSE / 2, every=100)
    while asyncio.get_running_loop().time() < until:
        gateway = generator.choice(gateways)
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(MAX_PAUSE)
        gateway.signal(signal.SIGCONT)
        await asyncio.sleep(0.3)
    for gateway in gateways:
        gateway.fault_injector.delay_writes(0.0, every=0)
    return ",".join(str(gateway.index) for gateway in gateways)


async def fail_accept_calls(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Makes calls of accept fail for at most 0.5 s."""
    gateways, error_number = sample_gateways(environment, generator), generator.choice(ACCEPT_ERRORS)
    for gateway in gateways:
        gateway.fault_injector.fail_accept(error_number, every=generator.choice((1, 2)))
    await asyncio.sleep(min(seconds, MAX_SYSTEM_CALL_FAULT_DURATION))
    for gateway in gateways:
        gateway.fault_injector.fail_accept(0)
    return f"{errno.errorcode[error_number]} " + ",".join(str(gateway.index) for gateway in gateways)


async def fail_connect_calls(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Makes calls of connect and socket fail for at most 0.5 s."""
    gateways, error_number = sample_gateways(environment, generator), generator.choice(CONNECT_ERRORS)
    for gateway in gateways:
        gateway.fault_injector.fail_connect(error_number, every=generator.choice((1, 3)))
        gateway.fault_injector.fail_socket(errno.ENFILE, every=4)
    for server in sample_servers(environment, generator):
        server.proxy.reset_connections()  # forces new connections
    await asyncio.sleep(min(seconds, MAX_SYSTEM_CALL_FAULT_DURATION))
    for gateway in gateways:
        gateway.fault_injector.fail_connect(0)
        gateway.fault_injector.fail_socket(0)
    return f"{errno.errorcode[error_number]} " + ",".join(str(gateway.index) for gateway in gateways)


async def limit_transfers(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Limits reads and writes to 100 or 1000 bytes and makes one call in 20 fail with EINTR."""
    gateways = sample_gateways(environment, generator)
    for gateway in gateways:
        gateway.fault_injector.limit_transfers(generator.choice((100, 1000)))
        gateway.fault_injector.interrupt_calls(every=20)
    await asyncio.sleep(seconds)
    for gateway in gateways:
        gateway.fault_injector.limit_transfers(0)
        gateway.fault_injector.interrupt_calls(every=0)
    return ",".join(str(gateway.index) for gateway in gateways)


async def step_wall_clocks(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Steps the wall clock of some gateways and later steps it back."""
    gateways, step = sample_gateways(environment, generator), generator.choice(CLOCK_STEPS)
    for gateway in gateways:
        gateway.fault_injector.step_wall_clock(step)
    await asyncio.sleep(seconds)
    for gateway in gateways:
        gateway.fault_injector.step_wall_clock(0.0)
    return f"{step:+.0f} s " + ",".join(str(gateway.index) for gateway in gateways)


async def leave_early(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Makes more clients disconnect early, and sends bursts of pipelined commands."""
    previous_share, environment.clients.leave_share = environment.clients.leave_share, 0.3
    until = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < until:
        environment.clients.spawn(
            environment.clients.run_burst(generator.randrange(3, 12), disconnect=generator.random() < 0.5)
        )
        await asyncio.sleep(0.2)
    environment.clients.leave_share = previous_share
    return ""


async def run_bad_clients(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Runs clients that violate the protocol, and clients that send while an idle connection is closed."""
    until = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < until:
        environment.clients.spawn(environment.clients.run_bad_client())
        environment.clients.spawn(environment.clients.send_at_idle_timeout())
        await asyncio.sleep(0.05)
    return ""


async def empty_server_list(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Has discovery tell a whole list without servers, and the servers again some seconds later."""
    environment.remove_all_servers()
    await asyncio.sleep(EMPTY_LIST_DURATION)
    for server in environment.servers:
        environment.set_server_state(server, "up")
    return ""


async def flood_commands(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Runs clients that send hundreds of commands at once and leave."""
    until = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < until:
        environment.clients.spawn(environment.clients.flood_and_leave())
        await asyncio.sleep(FLOOD_INTERVAL)
    return ""


async def run_slow_clients(environment: SoakEnvironment, generator: random.Random, seconds: float) -> str:
    """Makes more clients write their commands in two parts."""
    previous_share, environment.clients.slow_share = environment.clients.slow_share, 0.4
    await asyncio.sleep(seconds)
    environment.clients.slow_share = previous_share
    return ""


FAULTS: dict[str, FaultFunction] = {
    "server-hangs": server_behavior_fault(ServerBehavior.HANG),
    "server-errs": server_behavior_fault(ServerBehavior.ERROR),
    "server-busy": server_behavior_fault(ServerBehavior.BUSY),
    "server-spoils": server_behavior_fault(ServerBehavior.MALFORMED),
    "server-late": server_proxy_fault(ProxyFault.DELAYED),
    "server-cut": server_proxy_fault(ProxyFault.PARTITIONED),
    "server-resets": server_proxy_fault(ProxyFault.RESET),
    "server-half": server_proxy_fault(ProxyFault.TRUNCATED),
    "server-stalls": server_proxy_fault(ProxyFault.STALLED),
    "server-pieces": server_proxy_fault(ProxyFault.FRAGMENTED),
    "drain": drain_servers,
    "crash": crash_servers,
    "discovery-cut": discovery_proxy_fault(ProxyFault.PARTITIONED),
    "discovery-resets": discovery_proxy_fault(ProxyFault.RESET),
    "discovery-half": discovery_proxy_fault(ProxyFault.TRUNCATED),
    "empty-list": empty_server_list,
    "watch-stalls": discovery_proxy_fault(ProxyFault.STALLED),
    "discovery-pieces": discovery_proxy_fault(ProxyFault.FRAGMENTED),
    "counter-cut": counter_proxy_fault(ProxyFault.PARTITIONED),
    "counter-resets": counter_proxy_fault(ProxyFault.RESET),
    "counter-stalls": counter_proxy_fault(ProxyFault.STALLED),
    "reload": reload_gateways,
    "restart": restart_gateways,
    "kill": kill_gateways,
    "hold-up": pause_gateways,
    "accept": fail_accept_calls,
    "connect": fail_connect_calls,
    "transfers": limit_transfers,
    "clock": step_wall_clocks,
    "leave": leave_early,
    "bad-clients": run_bad_clients,
    "slow-clients": run_slow_clients,
    "floods": flood_commands,
}
