"""What a real gateway is told: environment and JSON file to one checked Config."""

from __future__ import annotations

import os
from collections.abc import Generator, Mapping
from dataclasses import dataclass
from typing import Any

from calicomast import interface as api
from calicomast.net.server_list import Address, ServerList, ServerListReader, parse_address
from calicomast.settings import read_settings, seconds

PIECE = 64 * 1024  # bytes of the file that are read at once


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    memory_limit: int  # bytes past which the process is killed
    max_sockets: int  # file descriptors that the process may hold
    known_servers: ServerList  # the hosts as this gateway last had them; it may be old
    settings: api.Settings
    connect_timeout: float
    server_idle_timeout: float  # hosts close a connection that has stood idle for this long
    max_active_requests: int  # requests in work at once


def read_file(path: str, keep_servers: bool) -> Generator[None, None, tuple[dict[str, Any], ServerList]]:
    """What the file says, and the list of servers in it. It is read in pieces, as the list may be long, and
    gives way between them."""
    reader = ServerListReader(("known", "servers"), "cached", keep_entries=keep_servers)
    with open(path, "rb") as file:
        while piece := file.read(PIECE):
            yield from reader.feed(piece)
            yield
    yield from reader.feed(b"", final=True)
    told = reader.json_reader.members[0]
    if "settings" not in told:
        raise KeyError("settings")
    return told, reader.server_list()


def read_config(env: Mapping[str, str] = os.environ, reload: bool = False) -> Config:
    """The configuration; raises ConfigError. `reload`: see read_config_incrementally."""
    steps = read_config_incrementally(env, reload)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def read_config_incrementally(
    env: Mapping[str, str] = os.environ, reload: bool = False, keep_servers: bool = True
) -> Generator[None, None, Config]:
    """Reads the configuration in steps of about a millisecond; raises ConfigError.

    `reload`: the file was replaced since the start, so the discovery that it names is newer than the one that
    the environment named. `keep_servers`: whether the list of servers in it is wanted.
    """
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        told, known = yield from read_file(path, keep_servers)
        tree = told["settings"]
        limits = tree["limits"]
        settings = read_settings(tree)
        counter = told.get("counter")
        if settings.counter and not counter:
            raise ValueError("the settings allow a counter but no address is given")
        return Config(
            name=env.get("RELAY_NAME") or told["name"],
            listen=parse_address(env.get("RELAY_LISTEN") or told["listen"]),
            discovery=parse_address((not reload and env.get("RELAY_DISCOVERY")) or told["discovery"]),
            counter=parse_address(counter) if counter else None,
            seed=int(told["seed"], 16),
            memory_limit=int(told["limits"]["memory_mb"]) * 1024 * 1024,
            max_sockets=int(told["limits"]["sockets"]),
            known_servers=known,
            settings=settings,
            connect_timeout=seconds(limits["connect_timeout"]),
            server_idle_timeout=seconds(limits["idle_close"]),
            max_active_requests=int(limits["max_open"]),
        )
    except KeyError as err:
        raise ConfigError(f"{path}: missing or unknown {err}") from err
    except (OSError, ValueError, TypeError, AttributeError) as err:
        raise ConfigError(f"{path}: {' '.join(str(err).split())}") from err
