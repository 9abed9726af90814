"""Bounds on the wait of connections in the accept queue."""

import random
from collections import deque

from calicomast.net.accept_queue import AcceptQueueWait

QUEUE_LENGTH = 50


def test_connections_of_a_queue_that_is_emptied_in_each_turn_have_not_waited():
    queue_wait = AcceptQueueWait(lambda: 0)
    for now in (1.0, 2.0):
        assert queue_wait.accepted(now) == 0.0
        queue_wait.emptied()


def test_connections_that_came_while_accepting_stopped_have_waited_since_then():
    waiting = deque([1.0, 2.0])
    queue_wait = AcceptQueueWait(lambda: len(waiting))
    queue_wait.not_emptied(3.0)
    waiting.extend([4.0, 5.0])
    queue_wait.not_emptied(6.0)
    waits = []
    for now in (10.0, 11.0, 12.0, 13.0):
        waiting.popleft()
        waits.append(queue_wait.accepted(now))
    # The first two came before the queue was looked at, and the last two after it.
    assert waits == [7.0, 8.0, 9.0, 10.0]
    queue_wait.emptied()
    assert queue_wait.accepted(20.0) == 0.0


def test_wait_is_neither_too_short_nor_counted_from_the_start_of_a_queue_that_never_empties():
    # Guards against requests sent on with time that had passed in the queue, and against refusing all others.
    rng, times = random.Random(8), [0.0]
    waiting = deque([0.0] * QUEUE_LENGTH)
    queue_wait = AcceptQueueWait(lambda: len(waiting))
    queue_wait.not_emptied(0.0)
    for _ in range(100 * QUEUE_LENGTH):
        now = times[-1] + rng.random() / 100
        times.append(now)
        came_at = waiting.popleft()
        assert now - came_at <= queue_wait.accepted(now) <= now - times[-2 * QUEUE_LENGTH - 1 :][0]
        waiting.append(now)
