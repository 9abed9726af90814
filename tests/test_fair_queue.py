"""How the time of the event loop is shared between owners of work."""

import asyncio

from netkit import on_loop

from calicomast.net import fair_queue
from calicomast.net.fair_queue import FairQueue

STEP_TIME = 0.0015  # seconds that a step of these tests takes
TIME_PER_TURN = 0.002  # seconds: the second step begins in time, a third one does not


class Work:
    """Work of several owners, whose steps take STEP_TIME on a clock of its own."""

    def __init__(self, monkeypatch, **steps):
        self.steps_left, self.done, self.now = steps, [], 0.0
        monkeypatch.setattr(fair_queue, "monotonic", lambda: self.now)
        self.queue = FairQueue(self.run_step, TIME_PER_TURN)

    def run_step(self, owner):
        """Does one step of an owner."""
        self.now += STEP_TIME
        self.done.append(owner)
        self.steps_left[owner] -= 1
        return self.steps_left[owner] > 0

    async def turns(self):
        """Returns what was done in each turn of the event loop until all is done."""
        turns = []
        while sum(self.steps_left.values()):
            self.done = []
            await asyncio.sleep(0)
            turns.append("".join(self.done))
        return turns


@on_loop
async def test_work_of_all_owners_gets_a_limited_time_in_a_turn(monkeypatch):
    # Guards against input that keeps the event loop from other sockets and timers, as a count limited it.
    work = Work(monkeypatch, a=5, b=1)
    work.queue.submit("a")
    assert work.done == ["a", "a"]
    work.queue.submit("b")
    assert work.done == ["a", "a"]
    assert await work.turns() == ["ab", "aa"]


@on_loop
async def test_owners_take_turns(monkeypatch):
    work = Work(monkeypatch, a=4, b=2, c=2)
    for owner in "aabbcc":
        work.queue.submit(owner)
    assert "a" in work.queue
    assert ["aa", *await work.turns()] == ["aa", "ab", "ca", "bc"]
    assert "a" not in work.queue


@on_loop
async def test_work_is_done_at_once_while_there_is_time(monkeypatch):
    work = Work(monkeypatch, a=1, b=1, c=1)
    work.queue.submit("a")
    work.queue.submit("b")
    assert work.done == ["a", "b"]
    work.queue.submit("c")
    assert await work.turns() == ["c"]


@on_loop
async def test_other_work_goes_on_after_a_step_that_raises():
    done, errors = [], []

    def run_step(owner):
        if owner == "broken":
            raise ValueError(owner)
        done.append(owner)
        return len(done) < 3

    asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context["exception"]))
    queue = FairQueue(run_step, 0.0)
    for owner in ("a", "broken", "b"):
        queue.submit(owner)
    queue._time_per_turn = 600.0
    while len(done) < 4:
        await asyncio.sleep(0)
    assert done == ["a", "b", "a", "b"] and [str(error) for error in errors] == ["broken"]
    assert "broken" not in queue
