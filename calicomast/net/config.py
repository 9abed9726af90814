"""The configuration of a real gateway: reads the environment and a JSON file into one checked Config."""

from __future__ import annotations

import os
from collections.abc import Generator, Mapping
from dataclasses import dataclass
from typing import Any

from calicomast import interface as api
from calicomast.net.server_list import Address, ServerList, ServerListReader, parse_address
from calicomast.settings import read_settings, to_seconds

READ_SIZE = 64 * 1024  # bytes of the file per read


class ConfigError(Exception):
    """The configuration cannot be used; the message gives the reason in one line."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one gateway process."""

    name: str
    listen: Address  # for clients
    discovery: Address  # of the discovery service
    counter: Address | None  # of the shared counter
    seed: int  # of the policy's random generator
    memory_limit: int  # bytes; the process is killed if it uses more
    max_sockets: int  # file descriptors that the process may hold
    known_servers: ServerList  # the last server list of this gateway, which may be out of date
    settings: api.Settings
    connect_timeout: float  # seconds
    server_idle_timeout: float  # seconds after which servers close an idle connection
    max_active_requests: int


def read_file(path: str, keep_servers: bool) -> Generator[None, None, tuple[dict[str, Any], ServerList]]:
    """Reads the file; returns its content and the server list in it.

    The list may be long, so the file is read in pieces, with a yield after each to let other work run.
    """
    reader = ServerListReader(("known", "servers"), "cached", keep_entries=keep_servers)
    with open(path, "rb") as file:
        while data := file.read(READ_SIZE):
            yield from reader.feed(data)
            yield
    yield from reader.feed(b"", final=True)
    content = reader.json_reader.members[0]
    if "settings" not in content:
        raise KeyError("settings")
    return content, reader.server_list()


def read_config(env: Mapping[str, str] = os.environ, reload: bool = False) -> Config:
    """Reads the configuration; raises ConfigError. For `reload` see read_config_incrementally."""
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

    Args:
        env: the environment of the process.
        reload: whether the file was replaced since the start. Its address of discovery is then newer than
            the one in the environment and takes precedence.
        keep_servers: whether the server list in the file is kept.
    """
    path = env.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        content, known_servers = yield from read_file(path, keep_servers)
        settings_tree = content["settings"]
        limits = settings_tree["limits"]
        settings = read_settings(settings_tree)
        counter = content.get("counter")
        if settings.counter and not counter:
            raise ValueError("the settings have a shared counter, but the file has no counter address")
        return Config(
            name=env.get("RELAY_NAME") or content["name"],
            listen=parse_address(env.get("RELAY_LISTEN") or content["listen"]),
            discovery=parse_address((not reload and env.get("RELAY_DISCOVERY")) or content["discovery"]),
            counter=parse_address(counter) if counter else None,
            seed=int(content["seed"], 16),
            memory_limit=int(content["limits"]["memory_mb"]) * 1024 * 1024,
            max_sockets=int(content["limits"]["sockets"]),
            known_servers=known_servers,
            settings=settings,
            connect_timeout=to_seconds(limits["connect_timeout"]),
            server_idle_timeout=to_seconds(limits["idle_close"]),
            max_active_requests=int(limits["max_open"]),
        )
    except KeyError as err:
        raise ConfigError(f"{path}: missing or unknown {err}") from err
    except (OSError, ValueError, TypeError, AttributeError) as err:
        raise ConfigError(f"{path}: {' '.join(str(err).split())}") from err
