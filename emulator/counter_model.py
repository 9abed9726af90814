"""The counter service: named totals on a few parts, each of which serves calls in turn."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from emulator.virtual_time import Simulation

Answer = Callable[[str, float, float], None]  # result (interface.COUNTER_RESULTS), total, elapsed seconds


@dataclass(slots=True)
class CounterTally:
    """Calls by what became of them."""

    calls: int = 0
    answered: int = 0
    turned_away: int = 0
    unanswered: int = 0


@dataclass(slots=True)
class _Part:
    free_at: float = 0.0
    totals: dict[int, float] = field(default_factory=dict)


class CounterModel:
    """Emulates the counter in virtual time.

    Args:
        simulation: the clock.
        calls_per_second: what all parts together serve.
        parts: names are spread over so many.
        round_trip: seconds on the way there and back.
        timeout: seconds after which a caller gives up; the call is worked on all the same.
        longest_line: seconds of waiting past which a part turns calls away at once.
        seed: of the random number generator that spreads the way's time.
    """

    def __init__(
        self,
        simulation: Simulation,
        calls_per_second: float,
        parts: int = 2,
        round_trip: float = 0.002,
        timeout: float = 0.05,
        longest_line: float = 0.1,
        seed: int = 0,
    ) -> None:
        self.simulation = simulation
        self.service_time = parts / calls_per_second
        self.round_trip, self.timeout, self.longest_line = round_trip, timeout, longest_line
        self.silent = False
        self.tally = CounterTally()
        self._parts = [_Part() for _ in range(parts)]
        self._random = random.Random(seed)

    def add(self, name: int, amount: float, answer: Answer) -> None:
        """One call. `answer` is called once: with the result, the total and the elapsed seconds."""
        self.tally.calls += 1
        now = self.simulation.now
        if self.silent:
            self._give_up(answer)
            return
        part = self._parts[name % len(self._parts)]
        wait = max(0.0, part.free_at - now)
        way = self.round_trip * self._random.uniform(0.8, 1.2)
        if wait > self.longest_line:
            self.tally.turned_away += 1
            self.simulation.after(way, answer, "full", 0.0, way)
            return
        part.free_at = now + wait + self.service_time
        total = part.totals[name] = part.totals.get(name, 0.0) + amount
        elapsed = wait + self.service_time + way
        if elapsed > self.timeout:
            self._give_up(answer)
            return
        self.tally.answered += 1
        self.simulation.after(elapsed, answer, "ok", total, elapsed)

    def lose_counts(self) -> None:
        """Forgets all totals, as a service does that comes back empty."""
        for part in self._parts:
            part.totals.clear()

    def _give_up(self, answer: Answer) -> None:
        self.tally.unanswered += 1
        self.simulation.after(self.timeout, answer, "timeout", 0.0, self.timeout)
