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
    memory: int  # bytes past which the process is killed
    sockets: int  # file descriptors that the process may hold
    known: ServerList  # the hosts as this gateway last had them; it may be old
    settings: api.Settings
    connect_timeout: float
    idle_close: float  # hosts close a connection that has stood idle for this long
    max_open: int  # requests in work at once


def read_file(path: str, keep_known: bool) -> Generator[None, None, tuple[dict[str, Any], ServerList]]:
    """What the file says, and the list of servers in it. It is read in pieces, as the list may be long, and
    gives way between them."""
    reader = ServerListReader(("known", "servers"), "cached", keep_entries=keep_known)
    with open(path, "rb") as file:
        while piece := file.read(PIECE):
            yield from reader.feed(piece)
            yield
    yield from reader.feed(b"", final=True)
    told = reader.json_reader.members[0]
    if "settings" not in told:
        raise KeyError("settings")
    return told, reader.server_list()


def read_config(env: Mapping[str, str] = os.environ, again: bool = False) -> Config:
    """The configuration; raises ConfigError. `again`: see config_steps."""
    steps = config_steps(env, again)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def config_steps(
    env: Mapping[str, str] = os.environ, again: bool = False, keep_known: bool = True
) -> Generator[None, None, Config]:
    """Reads the configuration in steps of about a millisecond; raises ConfigError.

    `again`: the file was replaced since the start, so the discovery that it names is newer than the one that
    the environment named. `keep_known`: whether the list of servers in it is wanted.
    """
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        told, known = yield from read_file(path, keep_known)
        tree = told["settings"]
        limits = tree["limits"]
        settings = read_settings(tree)
        counter = told.get("counter")
        if settings.counter and not counter:
            raise ValueError("the settings allow a counter but no address is given")
        return Config(
            name=env.get("RELAY_NAME") or told["name"],
            listen=parse_address(env.get("RELAY_LISTEN") or told["listen"]),
            discovery=parse_address((not again and env.get("RELAY_DISCOVERY")) or told["discovery"]),
            counter=parse_address(counter) if counter else None,
            seed=int(told["seed"], 16),
            memory=int(told["limits"]["memory_mb"]) * 1024 * 1024,
            sockets=int(told["limits"]["sockets"]),
            known=known,
            settings=settings,
            connect_timeout=seconds(limits["connect_timeout"]),
            idle_close=seconds(limits["idle_close"]),
            max_open=int(limits["max_open"]),
        )
    except KeyError as err:
        raise ConfigError(f"{path}: missing or unknown {err}") from err
    except (OSError, ValueError, TypeError, AttributeError) as err:
        raise ConfigError(f"{path}: {' '.join(str(err).split())}") from err
