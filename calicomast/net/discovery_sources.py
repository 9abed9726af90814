"""The discovery services that configurations have named, one after another.

A new configuration names another discovery service, and the next one may follow before that service has
responded. So calls in progress to services that were replaced go on: a list that one of them sends is newer
than the list held, and is applied as long as no service that was named later has sent one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from calicomast.net.discovery import DiscoveryClient
from calicomast.net.server_list import Address, ServerList

# Calls in progress to replaced services, on all of them together. Each takes a descriptor; the oldest are
# cancelled beyond it.
MAX_RETIRED_CALLS = 8

ListApplier = Callable[[ServerList], Iterator[None]]
# Creates the client of the service at an address. The version is that of the last list held; the flag tells
# whether this service sent it.
ClientFactory = Callable[[Address, int, bool, ListApplier], DiscoveryClient]


class DiscoverySources:
    """The client of the discovery service in use, and the clients of replaced ones that still have calls.

    Args:
        create_client: creates a client.
        apply_list: applies a list, given the number of the source that it came from, in steps.
        address: where the first service listens.
        version: version of the list held at the start.
        has_list: whether that list is held.

    Attributes:
        current: the client of the service that was named last.
        current_source: its number; sources are numbered from 1 as they are named.
        applied_source: the newest source that has sent a list; 0 before the first one.
    """

    def __init__(
        self,
        create_client: ClientFactory,
        apply_list: Callable[[ServerList, int], Iterator[None]],
        address: Address,
        version: int,
        has_list: bool,
    ) -> None:
        self._create_client, self._apply_list = create_client, apply_list
        self._retired: dict[int, DiscoveryClient] = {}  # by source, oldest first
        self.current_source, self.applied_source = 1, 0
        self.current = self._create(address, version, has_list)

    def _create(self, address: Address, version: int, has_list: bool) -> DiscoveryClient:
        """Creates the client of the current source."""
        source = self.current_source
        return self._create_client(
            address, version, has_list, lambda server_list: self._apply_list(server_list, source)
        )

    def replace(self, address: Address) -> None:
        """Moves to another service, whose first response has to be a whole list: its versions are its own."""
        replaced = self.current
        watching = replaced.watch_task is not None
        replaced.retire()
        self._retired = {source: client for source, client in self._retired.items() if client.calls}
        self._retired[self.current_source] = replaced
        self._limit_retired_calls()
        self.current_source += 1
        self.current = self._create(address, replaced.version, has_list=False)
        if watching:
            self.current.watch(True)

    def _limit_retired_calls(self) -> None:
        """Cancels the oldest calls to replaced services if there are too many."""
        excess = sum(len(client.calls) for client in self._retired.values()) - MAX_RETIRED_CALLS
        for client in self._retired.values():
            if excess > 0:
                excess -= client.cancel_oldest_calls(excess)

    def is_superseded(self, source: int) -> bool:
        """Whether a source that was named later has sent a list."""
        return source < self.applied_source

    def list_accepted(self, source: int) -> None:
        """Notes that a list of a source is being applied; lists of older sources no longer are."""
        self.applied_source = max(self.applied_source, source)
        for older in [number for number in self._retired if number < source]:
            self._retired.pop(older).close()

    def close(self) -> None:
        """Stops all clients. No list is applied after it."""
        for client in (*self._retired.values(), self.current):
            client.close()
