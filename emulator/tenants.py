"""Tenants: who asks, how often, and through which gateways."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer: its requests come through `spread` gateways in a row, beginning at number `first`."""

    name: str
    first: int
    spread: int


class TenantPopulation:
    """Tenants whose use is skewed: the n-th asks in proportion to 1 / n ** skew.

    Args:
        count: how many there are.
        gateways: of the fleet.
        spread: gateways that each tenant's requests come through, at most all.
        skew: exponent of the skew; 0 makes all alike.
        seed: of the random number generator.
    """

    def __init__(self, count: int, gateways: int, spread: int, skew: float, seed: int) -> None:
        self._random = np.random.default_rng(seed)
        self.spread = min(spread, gateways)
        self.gateways = gateways
        firsts = self._random.integers(0, gateways, size=count)
        self.tenants = [Tenant(f"{n:016x}", int(first), self.spread) for n, first in enumerate(firsts)]
        weights = np.arange(1, count + 1, dtype=float) ** -skew
        self._weights = weights / weights.sum()

    def share(self, number: int) -> float:
        """The part of all requests that a tenant asks."""
        return float(self._weights[number])

    def draw(self, count: int) -> list[tuple[Tenant, int]]:
        """So many requests' tenants, each with the number of the gateway that the request comes through."""
        numbers = self._random.choice(len(self.tenants), size=count, p=self._weights)
        offsets = self._random.integers(0, self.spread, size=count)
        chosen = (self.tenants[number] for number in numbers)
        return [
            (t, (t.first + int(offset)) % self.gateways) for t, offset in zip(chosen, offsets, strict=True)
        ]

    def arrivals(self, count: int, rate: float) -> list[float]:
        """Seconds from the start at which so many requests come, `rate` of them a second in the mean."""
        gaps = self._random.exponential(1 / rate, size=count)
        return [float(at) for at in np.cumsum(gaps)]
