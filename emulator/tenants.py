"""Tenants: how often each of them sends requests, and through which gateways."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant. Its requests arrive through `spread` consecutive gateways, starting at `first_gateway`."""

    name: str
    first_gateway: int
    spread: int


class TenantPopulation:
    """Tenants with skewed request rates: the n-th sends in proportion to 1 / n ** skew (a Zipf distribution).

    Args:
        count: number of tenants.
        gateways: number of gateways in the fleet.
        spread: number of gateways through which each tenant's requests arrive, limited to the whole fleet.
        skew: exponent of the distribution; 0 gives all tenants the same rate.
        seed: seed of the random number generator.
    """

    def __init__(self, count: int, gateways: int, spread: int, skew: float, seed: int) -> None:
        self._random = np.random.default_rng(seed)
        self.spread = min(spread, gateways)
        self.gateways = gateways
        first_gateways = self._random.integers(0, gateways, size=count)
        self.tenants = [
            Tenant(f"{number:016x}", int(first_gateway), self.spread)
            for number, first_gateway in enumerate(first_gateways)
        ]
        weights = np.arange(1, count + 1, dtype=float) ** -skew
        self._weights = weights / weights.sum()

    def share(self, number: int) -> float:
        """Returns the share of all requests that one tenant sends."""
        return float(self._weights[number])

    def draw(self, count: int) -> list[tuple[Tenant, int]]:
        """Draws the tenant and the number of the receiving gateway for each of `count` requests."""
        numbers = self._random.choice(len(self.tenants), size=count, p=self._weights)
        offsets = self._random.integers(0, self.spread, size=count)
        chosen = (self.tenants[number] for number in numbers)
        return [
            (tenant, (tenant.first_gateway + int(offset)) % self.gateways)
            for tenant, offset in zip(chosen, offsets, strict=True)
        ]

    def arrivals(self, count: int, rate: float) -> list[float]:
        """Draws the arrival times of `count` requests, in seconds from the start.

        The times are a Poisson process with a mean of `rate` requests per second.
        """
        gaps = self._random.exponential(1 / rate, size=count)
        return [float(at) for at in np.cumsum(gaps)]
