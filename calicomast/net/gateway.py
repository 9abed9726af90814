"""Connects the network side of the gateway to the policy.

The service turns events on sockets into events of the policy and carries out the actions that the policy
returns; it takes no decisions itself. It owns the timers and sends each request's single final answer. It
handles every event and action of interface.py except Began and Message, as this network side has neither
streaming responses nor messages between peers.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import math
import time
from collections import deque
from collections.abc import Iterator

from calicomast import interface as api
from calicomast.net.attempts import AttemptControl
from calicomast.net.clients import FAILED, ClientServer, Slot
from calicomast.net.clock import Clock
from calicomast.net.config import Config
from calicomast.net.counter import Counter
from calicomast.net.discovery import Discovery
from calicomast.net.events import EventLog, Kind
from calicomast.net.hosts import Attempt, Hosts
from calicomast.net.lifecycle import ProcessState, RequestState, change
from calicomast.net.listing import Listing
from calicomast.net.requests import BadRequest, Work, bulk, check_form, read_request
from calicomast.net.server_table import ServerTable
from calicomast.policy import Gateway
from calicomast.rules import (
    Verdict,
    may_take_request,
)

# Times of a request, in seconds.
RESPONSE_MARGIN = 0.03  # time before the client's deadline by which the policy must be done with a request
DEADLINE_GUARD_MARGIN = 0.01  # time before that deadline at which a request without an answer is failed
# Time after the deadline in which an answer has no value but still counts as one; later the request is lost.
LATE_ANSWER_GRACE = 0.55

# Memory, in bytes.
BASE_MEMORY_BYTES = 40 * 1024 * 1024  # used by the process itself, with some reserve
MIN_HELD_BYTES = 4 * 1024 * 1024  # lower bound of the limits for request bodies and for incomplete commands
MIN_SERVER_LIST_BYTES = 1024 * 1024  # lower bound of the size limit of a server list
SERVER_LIST_MEMORY_DIVISOR = 4  # the text of a server list may take this part of the memory above the base

LONG_SERVER_LIST = 1000  # servers
RESERVED_DESCRIPTORS = 64  # file descriptors for everything but the connections of clients and servers

# Shutdown, in seconds.
LINGER = 0.5  # time after SIGTERM in which new connections are still accepted
# SIGKILL follows SIGTERM after the longest deadline, at most MAX_DEADLINE_BEFORE_KILL, plus KILL_GRACE.
MAX_DEADLINE_BEFORE_KILL = 3.0
KILL_GRACE = 0.7
KILL_MARGIN = 0.3  # time before SIGKILL by which every request must be answered
FINAL_FLUSH_TIMEOUT = 0.1  # time for the last answers to be written
IDLE_POLL_INTERVAL = 0.01

BUSY = b"-BUSY\r\n"
PONG = b"+PONG\r\n"

log = logging.getLogger(__name__)


def max_server_list_bytes(memory: int) -> int:
    """Returns the size limit of a server list for a process that may use `memory` bytes.

    An entry takes about three times its text in memory.
    """
    return max(MIN_SERVER_LIST_BYTES, (memory - BASE_MEMORY_BYTES) // SERVER_LIST_MEMORY_DIVISOR)


class GatewayService:
    """One gateway: its policy, its active requests and its connections to all other processes."""

    def __init__(self, config: Config) -> None:
        """Creates all parts; nothing is connected before `start`."""
        self.config = config
        self.settings = config.settings
        self.clock = Clock()
        self.loop = asyncio.get_running_loop()
        self.policy = Gateway(config.settings, config.seed, self.clock())
        self.active_requests: dict[str, Work] = {}
        self.held_body_bytes = 0  # of active requests
        self.events: deque[api.Event] = deque()
        self.dispatching = False  # whether submit_event is processing queued events
        self.ready = False  # whether there has been a server to send to
        self.state = ProcessState.SERVING
        self.event_log = EventLog()
        # Both times are in seconds; the shutdown timeout counts from SIGTERM.
        longest = self.longest_deadline = max(cls.deadline for cls in self.settings.classes.values())
        self.shutdown_timeout = (
            min(longest, MAX_DEADLINE_BEFORE_KILL) + KILL_GRACE - min(KILL_MARGIN, longest / 2)
        )
        descriptors = max(config.sockets - RESERVED_DESCRIPTORS, config.sockets // 2)
        # Limits request bodies and, separately, incomplete commands: above its memory limit the process is
        # killed.
        self.max_held_bytes = max(MIN_HELD_BYTES, (config.memory - BASE_MEMORY_BYTES) // 4)
        self.clients = ClientServer(self, descriptors // 2, self.max_held_bytes, self.event_log)
        self.server_table = ServerTable(
            self.submit_event, lambda server: self.server_connections.stop(server), self.clock.started
        )
        self.server_connections = Hosts(
            config.connect_timeout, config.idle_close, descriptors // 2, self.server_table.address
        )
        self.attempt_control = AttemptControl(
            config.settings, self.clock, self.server_table.listed, self.admits_late, self.event_log
        )
        self.counter = Counter(config.counter, self.settings.counter_timeout) if config.counter else None
        self.max_server_list_bytes = max_server_list_bytes(config.memory)
        self.discovery_generation = 0  # number of discovery clients created so far
        self.discovery = self.create_discovery(config, config.known.version, held=bool(config.known.entries))
        self.closing_tasks: set[asyncio.Task[None]] = set()  # of discovery clients that were replaced
        self.actions = {
            api.Send: self.send,
            api.Refuse: self.refuse,
            api.Fail: self.fail,
            api.Cancel: self.cancel,
            api.Count: self.count,
            api.SetTimer: self.set_timer,
            api.Probe: self.probe,
            api.Close: lambda action: self.server_connections.close_idle(action.host),
            api.Fetch: lambda action: self.discovery.fetch(),
            api.Watch: lambda action: self.discovery.watch(action.on),
            api.Log: lambda action: log.info("policy: %s", action.text),
        }

    async def start(self) -> None:
        """Starts everything but the listener, so that the policy knows the servers before clients connect."""
        for _ in self.apply_server_list(self.config.known):
            pass
        self.server_connections.start_checks()
        if self.counter:
            self.counter.start()
        if self.settings.discovery == "push":
            self.discovery.watch(True)

    async def listen(self) -> int:
        """Listens for clients and returns the port."""
        return await self.clients.listen(*self.config.listen)

    def reload(self, config: Config) -> None:
        """Applies the addresses in a new configuration. Its other settings take effect at the next start."""
        if self.stopping:
            self.event_log.tell(Kind.CONFIGURATION, Verdict.SHUTTING_DOWN.value)
            return
        old, self.config = self.config, config
        if (old.settings, old.listen, old.sockets) != (config.settings, config.listen, config.sockets):
            log.warning("only the addresses of discovery and counter are reloaded; the rest needs a restart")
        if self.counter and config.counter:
            self.counter.move(config.counter)
        replaced = self.discovery
        self.discovery = self.create_discovery(config, replaced.version, held=False)
        if replaced.watching:
            # The new watch begins with the full list, as each discovery service has versions of its own.
            self.discovery.watch(True)
        closing = self.loop.create_task(replaced.close())
        self.closing_tasks.add(closing)
        closing.add_done_callback(self.closing_tasks.discard)
        log.info("new configuration: discovery %s:%d", *config.discovery)

    def create_discovery(self, config: Config, version: int, held: bool) -> Discovery:
        """Creates the client of the discovery service that a configuration names."""
        self.discovery_generation += 1
        generation = self.discovery_generation
        return Discovery(
            config.discovery,
            version,
            lambda server_list: self.apply_server_list(server_list, generation),
            self.handle_fetch_failure,
            held=held,
            grace=self.settings.rules.drain_grace,
            most=self.max_server_list_bytes,
            entries=self.server_table.entries,
        )

    @property
    def stopping(self) -> bool:
        """Whether SIGTERM was received."""
        return self.state is not ProcessState.SERVING

    @property
    def refusing(self) -> bool:
        """Whether new requests are refused at once."""
        return self.state in (ProcessState.REFUSING, ProcessState.ENDED)

    def set_state(self, state: ProcessState) -> None:
        """Changes the state of the process."""
        self.state = change(self.state, state)

    # Events

    def submit_event(self, event: api.Event) -> None:
        """Passes an event to the policy, behind any events whose processing is not finished."""
        self.events.append(event)
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.events:
                self.process_event(self.events.popleft())
        finally:
            self.dispatching = False

    def process_event(self, event: api.Event) -> None:
        """Passes one event to the policy and carries out its actions."""
        try:
            actions = self.policy.handle(self.clock(), event)
        except Exception:  # an error for one request must not affect the others
            log.exception("policy failed on %s", type(event).__name__)
            if isinstance(event, api.Request | api.Outcome) and event.id in self.active_requests:
                self.abort_request(self.active_requests[event.id], "module failed")
            return
        for action in actions:
            try:
                self.actions[type(action)](action)
            except Exception:  # the other actions go on; a request left open is failed at its deadline
                log.exception("action failed: %r", action)

    def abort_request(self, work: Work, reason: str) -> None:
        """Fails a request without a decision of the policy and makes the policy drop it."""
        if not work.over:
            self.log_request_end(Kind.REQUEST_FAILED, reason, work)
        self.finish_request(work, FAILED)
        for attempt in list(work.live.values()):
            self.server_connections.give_up(attempt, "cancelled")
        self.submit_event(api.Gone(work.id))

    def apply_server_list(self, server_list: Listing, generation: int = 0) -> Iterator[None]:
        """Applies a server list in slices, one at each step of the iterator.

        Args:
            generation: the number of the discovery client that received the list; 0 for the configuration.

        Raises:
            ValueError: the list may not be applied.
        """
        self.check_server_list(server_list, generation)
        is_long = len(server_list.entries) > LONG_SERVER_LIST
        for _ in self.server_table.take(server_list):
            yield
            # A reload may have replaced the discovery client since.
            self.check_server_list(server_list, generation)
        self.ready = self.ready or self.server_table.any_to_send_to()
        if is_long:
            gc.freeze()  # most of the list stays in memory: no collection needs to scan it

    def check_server_list(self, server_list: Listing, generation: int) -> None:
        """Raises ValueError if a server list may not be applied, or not any further."""
        try:
            self.server_table.check(server_list, source_current=generation in (0, self.discovery_generation))
        except ValueError as err:
            self.event_log.tell(Kind.LIST_NOT_APPLIED, str(err), version=server_list.version)
            raise

    def handle_fetch_failure(self) -> None:
        """Tells the policy that discovery did not send a list that it asked for."""
        if self.settings.discovery == "ask":
            self.submit_event(api.HostList("failed", self.discovery.version, ()))

    # Clients

    def handle_command(self, slot: Slot, command: object) -> None:
        """Handles a command that a client sent: PING, or a request."""
        if command == [b"PING"] or command == [b"ping"]:
            slot.reply(PONG if self.ready and not self.stopping else b"-ERR not ready\r\n")
            return
        try:
            self.accept_request(slot, command)
        except BadRequest as err:
            self.event_log.note(Kind.REQUEST_NOT_TAKEN, str(err))
            slot.reply(b"-ERR %s\r\n" % str(err).encode())
        except Exception:
            log.exception("command failed")
            if slot.answer is None:
                slot.reply(FAILED)

    def accept_request(self, slot: Slot, message: object) -> None:
        """Accepts a request and submits it to the policy, or refuses it at once. Raises BadRequest."""
        command = check_form(message)
        request = read_request(command, self.settings, RESPONSE_MARGIN + slot.client.waited())
        if request.id in self.active_requests:
            raise BadRequest("this id is in work")
        verdict = may_take_request(
            ending=self.refusing,
            in_work=len(self.active_requests),
            most_in_work=self.config.max_open,
            held=self.held_body_bytes,
            most_held=self.max_held_bytes,
        )
        if verdict is not Verdict.ALLOWED:
            self.event_log.note(Kind.REQUEST_REFUSED, verdict.value)
            slot.reply(BUSY)
            return
        now = time.monotonic()
        work = Work(request.id, slot, command, now + request.left)
        slot.token = work
        slot.due = now + min(request.left + RESPONSE_MARGIN, self.longest_deadline) + LATE_ANSWER_GRACE
        self.active_requests[request.id] = work
        self.held_body_bytes += len(command[-1])
        work.guard = self.loop.call_later(
            max(0.0, request.left + RESPONSE_MARGIN - DEADLINE_GUARD_MARGIN), self.fail_overdue, work
        )
        self.submit_event(request)

    def handle_client_gone(self, slot: Slot) -> None:
        """Ends a request whose client has gone: nothing more is sent for it."""
        work = slot.token
        if work is not None and not work.over:
            self.finish_request(work, b"")
            self.submit_event(api.Gone(work.id))

    def fail_overdue(self, work: Work) -> None:
        """Fails a request just before its client's deadline, if the policy has not answered it."""
        if not work.over:
            self.abort_request(work, "no decision before its deadline")

    def finish_request(self, work: Work, answer: bytes) -> None:
        """Sends a request's final answer; nothing else does. An empty answer sends nothing."""
        if work.over:
            return
        work.become(RequestState.ANSWERED)
        if work.guard is not None:
            work.guard.cancel()
        if answer:
            work.slot.reply(answer)
        for attempt in list(work.live.values()):
            if not attempt.written:  # after the final answer nothing more is sent
                self.server_connections.give_up(attempt, "cancelled")
        self.remove_if_done(work)

    def remove_if_done(self, work: Work) -> None:
        """Removes a request that has been answered and has no attempt left."""
        if work.over and not work.live and self.active_requests.pop(work.id, None):
            work.become(RequestState.FORGOTTEN)
            self.held_body_bytes -= len(work.command[-1])

    def log_request_end(self, kind: Kind, reason: str, work: Work) -> None:
        """Logs why a request was refused or failed."""
        client = work.slot.client
        ids = {"id": work.id, "connection": client.number, "state": client.state.value}
        self.event_log.tell(kind, reason, **ids, attempts=work.begun)

    # Actions: one method for each class of actions, and the callbacks of what they start

    def refuse(self, action: api.Refuse) -> None:
        """Refuses a request and tells the client when to retry, in milliseconds."""
        if action.id in self.active_requests:
            self.log_request_end(Kind.REQUEST_REFUSED, action.reason, self.active_requests[action.id])
            retry_after_ms = math.ceil(action.retry_after * 1000)
            self.finish_request(
                self.active_requests[action.id],
                b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else BUSY,
            )

    def fail(self, action: api.Fail) -> None:
        """Answers a request with an error."""
        if action.id in self.active_requests:
            self.log_request_end(Kind.REQUEST_FAILED, action.reason, self.active_requests[action.id])
            self.finish_request(self.active_requests[action.id], FAILED)

    def send(self, action: api.Send) -> None:
        """Starts an attempt of a request at a server, if the rules still allow it."""
        work = self.active_requests.get(action.id)
        if work is None or work.over:
            return
        number = work.sends
        work.sends += 1
        attempt = Attempt(action.host, self.prepare_payload, self.attempt_done, (work, number))
        attempt.repeat_until, attempt.cold = action.repeat_until, action.cold
        verdict = self.attempt_control.judge(attempt, late=False)
        if verdict is not Verdict.ALLOWED:
            if verdict is Verdict.CLIENT_GONE:
                self.finish_request(work, b"")
            self.submit_event(api.Outcome(work.id, number, action.host, "moot", 0.0, work.over))
            return
        work.live[number] = attempt
        attempt.judged = True  # valid only during this call
        remaining = work.deadline - time.monotonic()
        self.server_connections.send(
            attempt, min(remaining, action.timeout) if action.timeout > 0 else remaining
        )
        attempt.judged = False

    def admits_late(self, now: float, id: str, number: int, server: str) -> bool:
        """Asks the policy whether slow start allows an attempt whose connection was established late."""
        return self.policy.admits_late(now, id, number, server)

    def prepare_payload(self, attempt: Attempt) -> bytes | None:
        """Returns the bytes to send to the server, or None if the attempt may not be sent any more.

        Called when its connection is ready to be written to.
        """
        work, _ = attempt.tag
        if not attempt.judged:
            verdict = self.attempt_control.judge(attempt, late=True)
            if verdict is not Verdict.ALLOWED:
                if verdict is Verdict.CLIENT_GONE:
                    self.handle_client_gone(work.slot)
                return None
        return self.attempt_control.write(attempt)

    def attempt_done(self, attempt: Attempt) -> None:
        """Answers the request of an attempt that has ended, if it succeeded, and reports it to the policy."""
        work, number = attempt.tag
        result, over = attempt.result, work.over
        del work.live[number]
        if result != "ok":
            ids = {"id": work.id, "attempt": number, "server": attempt.host, "state": work.state.value}
            self.event_log.tell(Kind.ATTEMPT_ENDED, result, **ids)
        if over and (result == "connect_failed" or result in api.NEVER_BEGAN):
            result = "moot"  # cancelled before it was sent, which says nothing about the server
        elif result == "ok" and not over:
            self.finish_request(work, bulk(attempt.value))
        self.remove_if_done(work)
        self.submit_event(
            api.Outcome(
                work.id,
                number,
                attempt.host,
                result,
                attempt.elapsed(),
                work.over,
                used=attempt.used,
                report=attempt.report,
            )
        )

    def cancel(self, action: api.Cancel) -> None:
        """Cancels one attempt."""
        work = self.active_requests.get(action.id)
        if work is not None and action.attempt in work.live:
            self.server_connections.give_up(work.live[action.attempt], "cancelled")

    def probe(self, action: api.Probe) -> None:
        """Starts a probe of a server."""
        self.server_connections.probe(action.host, self.handle_probe_result)

    def handle_probe_result(self, attempt: Attempt) -> None:
        """Reports a probe that has ended to the policy."""
        self.submit_event(api.Probed(attempt.host, attempt.result, attempt.elapsed(), attempt.report))

    def count(self, action: api.Count) -> None:
        """Calls the counter service; without one the call fails in the next turn of the event loop."""
        if self.counter is None:
            self.loop.call_soon(self.handle_counter_result, action.name, "connect_failed", 0.0, 0.0)
        else:
            self.counter.add(action.name, action.amount, action.lifetime, self.handle_counter_result)

    def handle_counter_result(self, name: int, result: str, total: float, elapsed: float) -> None:
        """Reports a call of the counter service that has ended to the policy."""
        self.submit_event(api.Counted(name, result, total, elapsed))

    def set_timer(self, action: api.SetTimer) -> None:
        """Sets a timer of the policy."""
        self.loop.call_later(action.delay, self.fire_timer, action.label, self.clock() + action.delay)

    def fire_timer(self, label: int, at: float) -> None:
        """Submits a timer event once its time has come.

        The event loop's timers have a resolution of a millisecond and may fire early. The policy would take
        an early one for another timer and set no further one.
        """
        remaining = at - self.clock()
        if remaining > 0:
            self.loop.call_later(remaining + 0.001, self.fire_timer, label, at)
        else:
            self.submit_event(api.Timer(label))

    # Shutdown

    async def stop(self) -> None:
        """Shuts down after SIGTERM.

        New connections are accepted for LINGER, then the accepted requests are finished. Clients send on any
        connection that is open, so each is closed as soon as it has no active request and no unread bytes.
        """
        started_at = time.monotonic()
        self.set_state(ProcessState.LINGERING)
        await asyncio.sleep(LINGER)
        await self.clients.no_more()
        self.set_state(ProcessState.FINISHING)
        self.clients.finish()
        await self.wait_until_idle(started_at + self.shutdown_timeout)
        self.set_state(ProcessState.REFUSING)
        for work in list(self.active_requests.values()):
            self.abort_request(work, Verdict.SHUTTING_DOWN.value)
        await self.wait_until_idle(time.monotonic() + FINAL_FLUSH_TIMEOUT)
        self.set_state(ProcessState.ENDED)
        self.clients.close()
        self.server_connections.close()
        if self.counter:
            self.counter.close()
        await asyncio.gather(self.discovery.close(), *self.closing_tasks)
        self.log_counts()

    def log_counts(self) -> None:
        """Logs the counts of events by reason since the start, and the violations."""
        log.info("counts %s", self.event_log.summary())

    async def wait_until_idle(self, deadline: float) -> None:
        """Waits until no request is active and all client connections are closed, or until the deadline."""
        while (self.active_requests or self.clients.clients) and time.monotonic() < deadline:
            await asyncio.sleep(IDLE_POLL_INTERVAL)
