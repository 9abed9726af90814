"""Model of the counter service: named totals on a few shards, each of which serves its calls in order."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from emulator.virtual_time import Simulation

# Called with the result (of interface.COUNTER_RESULTS), the total and the elapsed seconds.
CounterCallback = Callable[[str, float, float], None]


@dataclass(slots=True)
class CounterTally:
    """Number of calls by result."""

    calls: int = 0
    answered: int = 0
    rejected: int = 0
    timed_out: int = 0


@dataclass(slots=True)
class _Shard:
    """Totals of one shard, and the virtual time in seconds at which its queue is empty."""

    free_at: float = 0.0
    totals: dict[int, float] = field(default_factory=dict)


class CounterModel:
    """Emulates the counter service in virtual time.

    Args:
        simulation: virtual clock and scheduler.
        calls_per_second: capacity of all shards together.
        shards: number of shards over which the names are distributed.
        round_trip: mean network round-trip time in seconds; each call varies by up to 20 % either way.
        timeout: seconds after which a caller abandons a call; a call that arrived is executed all the same.
        max_queue_time: queueing delay in seconds above which a shard rejects calls at once.
        seed: seed of the generator that draws the round-trip times.

    Attributes:
        unreachable: if set, every call times out and no total changes.
    """

    def __init__(
        self,
        simulation: Simulation,
        calls_per_second: float,
        shards: int = 2,
        round_trip: float = 0.002,
        timeout: float = 0.05,
        max_queue_time: float = 0.1,
        seed: int = 0,
    ) -> None:
        self.simulation = simulation
        self.service_time = shards / calls_per_second
        self.round_trip, self.timeout, self.max_queue_time = round_trip, timeout, max_queue_time
        self.unreachable = False
        self.tally = CounterTally()
        self._shards = [_Shard() for _ in range(shards)]
        self._random = random.Random(seed)

    def add(self, name: int, amount: float, callback: CounterCallback) -> None:
        """Adds an amount to a named total.

        `callback` is called once, with the result, the total and the elapsed seconds. After a timeout the
        total may have changed all the same.
        """
        self.tally.calls += 1
        now = self.simulation.now
        if self.unreachable:
            self._time_out(callback)
            return
        shard = self._shards[name % len(self._shards)]
        wait = max(0.0, shard.free_at - now)
        network_time = self.round_trip * self._random.uniform(0.8, 1.2)
        if wait > self.max_queue_time:
            self.tally.rejected += 1
            self.simulation.after(network_time, callback, "full", 0.0, network_time)
            return
        shard.free_at = now + wait + self.service_time
        total = shard.totals[name] = shard.totals.get(name, 0.0) + amount
        elapsed = wait + self.service_time + network_time
        if elapsed > self.timeout:
            self._time_out(callback)
            return
        self.tally.answered += 1
        self.simulation.after(elapsed, callback, "ok", total, elapsed)

    def reset_totals(self) -> None:
        """Drops all totals, as a service does that restarts without its data."""
        for shard in self._shards:
            shard.totals.clear()

    def _time_out(self, callback: CounterCallback) -> None:
        self.tally.timed_out += 1
        self.simulation.after(self.timeout, callback, "timeout", 0.0, self.timeout)
