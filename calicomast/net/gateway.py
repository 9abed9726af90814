"""Connects the network side of the gateway to the policy.

The service turns events on sockets into events of the policy and carries out the actions that the policy
returns; it takes no decisions itself. It owns the timers and sends each request's single final answer. It
handles every event and action of interface.py except AttemptStarted and PeerMessage, as this network side
has neither streaming responses nor messages between peers.
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
from calicomast.net.attempt import Attempt
from calicomast.net.attempt_control import AttemptControl
from calicomast.net.clients import ClientConnections
from calicomast.net.clock import Clock
from calicomast.net.config import Config
from calicomast.net.counter import CounterClient
from calicomast.net.discovery import DiscoveryClient
from calicomast.net.discovery_sources import DiscoverySources, ListApplier
from calicomast.net.events import EventKind, EventLog
from calicomast.net.lifecycle import ProcessState, RequestState, transition
from calicomast.net.pending_commands import BUSY, FAILED_RESPONSE, ResponseSlot
from calicomast.net.requests import (
    ActiveRequest,
    BadRequest,
    encode_bulk_string,
    parse_request,
    validate_command,
)
from calicomast.net.retry_window import RetryWindowTimers
from calicomast.net.server_connections import ServerConnections
from calicomast.net.server_list import Address, ServerList
from calicomast.net.server_table import ServerTable
from calicomast.policy import GatewayPolicy
from calicomast.rules import Verdict, may_accept_request

# Times of a request, in seconds.
RESPONSE_MARGIN = 0.03  # time before the client's deadline by which the policy must be done with a request
DEADLINE_GUARD_MARGIN = 0.01  # time before that deadline at which a request without an answer is failed
# Time after the deadline in which an answer has no value but still counts as one; later the request is lost.
LATE_ANSWER_GRACE = 0.55

# Memory, in bytes.
BASE_MEMORY_BYTES = 40 * 1024 * 1024  # used by the process itself, with some reserve
MIN_HELD_BYTES = 4 * 1024 * 1024  # lower bound of the limits for commands of each kind
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
        self.policy = GatewayPolicy(config.settings, config.seed, self.clock())
        self.active_requests: dict[str, ActiveRequest] = {}
        self.held_command_bytes = 0  # of active requests
        self.events: deque[api.Event] = deque()
        self.dispatching = False  # whether submit_event is processing queued events
        self.ready = False  # whether there has been a server to send to
        self.state = ProcessState.SERVING
        self.event_log = EventLog()
        # Both times are in seconds; the shutdown timeout counts from SIGTERM.
        longest = self.longest_deadline = max(
            service_class.deadline for service_class in self.settings.classes.values()
        )
        self.shutdown_timeout = (
            min(longest, MAX_DEADLINE_BEFORE_KILL) + KILL_GRACE - min(KILL_MARGIN, longest / 2)
        )
        descriptors = max(config.max_sockets - RESERVED_DESCRIPTORS, config.max_sockets // 2)
        # Limits the commands of requests and, separately, pending and incomplete commands: above its memory
        # limit the process is killed.
        self.max_held_bytes = max(MIN_HELD_BYTES, (config.memory_limit - BASE_MEMORY_BYTES) // 4)
        self.clients = ClientConnections(self, descriptors // 2, self.max_held_bytes, self.event_log)
        self.server_table = ServerTable(
            self.submit_event,
            lambda server: self.server_connections.stop_server(server),
            self.clock.local_start_time,
        )
        self.server_connections = ServerConnections(
            config.connect_timeout, config.server_idle_timeout, descriptors // 2, self.server_table.address_of
        )
        self.attempt_control = AttemptControl(
            config.settings,
            self.clock,
            self.server_table.is_available,
            self.admits_delayed_attempt,
            self.event_log,
        )
        self.retry_window_timers = RetryWindowTimers(self.clock, self.withhold_attempt)
        self.counter = (
            CounterClient(config.counter, self.settings.counter_timeout) if config.counter else None
        )
        self.max_server_list_bytes = max_server_list_bytes(config.memory_limit)
        self.discovery = DiscoverySources(
            self.create_discovery_client,
            self.apply_server_list,
            config.discovery,
            config.known_servers.version,
            has_list=bool(config.known_servers.entries),
        )
        self.actions = {
            api.Send: self.send,
            api.Refuse: self.refuse,
            api.Fail: self.fail,
            api.Cancel: self.cancel,
            api.AddToCounter: self.add_to_counter,
            api.SetTimer: self.set_timer,
            api.Probe: self.probe,
            api.CloseConnections: lambda action: self.server_connections.close_idle(action.server),
            api.FetchServerList: lambda action: self.discovery.current.fetch(),
            api.WatchServerList: lambda action: self.discovery.current.watch(action.enabled),
            api.Log: lambda action: log.info("policy: %s", action.text),
        }

    async def start(self) -> None:
        """Starts everything but the listener, so that the policy knows the servers before clients connect."""
        for _ in self.apply_server_list(self.config.known_servers, source=0):
            pass
        self.server_connections.start_idle_checks()
        if self.counter:
            self.counter.start()
        if self.settings.discovery == "push":
            self.discovery.current.watch(True)

    async def listen(self) -> int:
        """Listens for clients and returns the port."""
        return await self.clients.listen(*self.config.listen)

    def reload(self, config: Config) -> None:
        """Applies the addresses in a new configuration. Its other settings take effect at the next start."""
        if self.stopping:
            self.event_log.log(EventKind.CONFIGURATION, Verdict.SHUTTING_DOWN.value)
            return
        old, self.config = self.config, config
        if (old.settings, old.listen, old.max_sockets) != (
            config.settings,
            config.listen,
            config.max_sockets,
        ):
            log.warning("only the addresses of discovery and counter are reloaded; the rest needs a restart")
        if self.counter and config.counter:
            self.counter.change_address(config.counter)
        self.discovery.replace(config.discovery)
        log.info("new configuration: discovery %s:%d", *config.discovery)

    def create_discovery_client(
        self, address: Address, version: int, has_list: bool, apply_list: ListApplier
    ) -> DiscoveryClient:
        """Creates a client of a discovery service, see DiscoverySources."""
        return DiscoveryClient(
            address,
            version,
            apply_list,
            self.handle_fetch_failure,
            has_list=has_list,
            drain_grace=self.settings.rules.drain_grace,
            max_body_bytes=self.max_server_list_bytes,
            known_entries=self.server_table.entries,
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
        self.state = transition(self.state, state)

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

    def abort_request(self, request: ActiveRequest, reason: str) -> None:
        """Fails a request without a decision of the policy and makes the policy drop it."""
        if not request.finished:
            self.log_request_end(EventKind.REQUEST_FAILED, reason, request)
        self.finish_request(request, FAILED_RESPONSE)
        for attempt in list(request.active_attempts.values()):
            self.server_connections.cancel_attempt(attempt, "cancelled")
        self.submit_event(api.ClientDisconnected(request.id))

    def apply_server_list(self, server_list: ServerList, source: int) -> Iterator[None]:
        """Applies a server list in slices, one at each step of the iterator.

        Args:
            source: the number of the discovery service that sent the list; 0 for the configuration.

        Raises:
            ValueError: the list may not be applied.
        """
        self.check_server_list(server_list, source)
        self.discovery.list_accepted(source)
        is_long = len(server_list.entries) > LONG_SERVER_LIST
        for _ in self.server_table.apply(server_list):
            yield
            # A discovery service that was named later may have sent a list since.
            self.check_server_list(server_list, source)
        self.ready = self.ready or self.server_table.any_available()
        if is_long:
            gc.freeze()  # most of the list stays in memory: no collection needs to scan it

    def check_server_list(self, server_list: ServerList, source: int) -> None:
        """Raises ValueError if a server list may not be applied, or not any further."""
        try:
            self.server_table.validate(server_list, self.discovery.is_superseded(source))
        except ValueError as err:
            self.event_log.log(EventKind.LIST_NOT_APPLIED, str(err), version=server_list.version)
            raise

    def handle_fetch_failure(self) -> None:
        """Tells the policy that discovery did not send a list that it asked for."""
        if self.settings.discovery == "ask":
            self.submit_event(api.ServerListUpdate("failed", self.discovery.current.version, ()))

    # Clients

    def handle_command(self, slot: ResponseSlot, command: object) -> None:
        """Handles a command that a client sent: PING, or a request."""
        if command == [b"PING"] or command == [b"ping"]:
            slot.reply(PONG if self.ready and not self.stopping else b"-ERR not ready\r\n")
            return
        try:
            self.accept_request(slot, command)
        except BadRequest as err:
            self.event_log.count(EventKind.REQUEST_NOT_TAKEN, str(err))
            slot.reply(b"-ERR %s\r\n" % str(err).encode())
        except Exception:
            log.exception("command failed")
            if slot.response is None:
                slot.reply(FAILED_RESPONSE)

    def accept_request(self, slot: ResponseSlot, message: object) -> None:
        """Accepts a request and submits it to the policy, or refuses it at once. Raises BadRequest."""
        command = validate_command(message)
        now = time.monotonic()
        request = parse_request(command, self.settings, RESPONSE_MARGIN + now - slot.received_at)
        if request.id in self.active_requests:
            raise BadRequest("this id is in work")
        verdict = may_accept_request(
            shutting_down=self.refusing,
            active_requests=len(self.active_requests),
            max_active_requests=self.config.max_active_requests,
            command_bytes=self.held_command_bytes,
            max_command_bytes=self.max_held_bytes,
        )
        if verdict is not Verdict.ALLOWED:
            self.event_log.count(EventKind.REQUEST_REFUSED, verdict.value)
            slot.reply(BUSY)
            return
        service_class = self.settings.classes[request.service_class]
        active_request = ActiveRequest(request.id, slot, command, now + request.remaining_time, service_class)
        slot.active_request = active_request
        slot.expires_at = (
            now + min(request.remaining_time + RESPONSE_MARGIN, self.longest_deadline) + LATE_ANSWER_GRACE
        )
        self.active_requests[request.id] = active_request
        self.held_command_bytes += active_request.command_bytes
        active_request.deadline_timer = self.loop.call_later(
            max(0.0, request.remaining_time + RESPONSE_MARGIN - DEADLINE_GUARD_MARGIN),
            self.fail_overdue,
            active_request,
        )
        self.submit_event(request)

    def handle_client_gone(self, slot: ResponseSlot) -> None:
        """Ends a request whose client has gone: nothing more is sent for it."""
        request = slot.active_request
        if request is not None and not request.finished:
            self.finish_request(request, b"")
            self.submit_event(api.ClientDisconnected(request.id))

    def fail_overdue(self, request: ActiveRequest) -> None:
        """Fails a request just before its client's deadline, if the policy has not answered it."""
        if not request.finished:
            self.abort_request(request, "no decision before its deadline")

    def finish_request(self, request: ActiveRequest, answer: bytes) -> None:
        """Sends a request's final answer; nothing else does. An empty answer sends nothing."""
        if request.finished:
            return
        request.transition_to(RequestState.ANSWERED)
        request.cancel_timers()
        if answer:
            request.slot.reply(answer)
        for attempt in list(request.active_attempts.values()):
            if not attempt.written:  # after the final answer nothing more is sent
                self.server_connections.cancel_attempt(attempt, "cancelled")
        self.remove_if_done(request)

    def remove_if_done(self, request: ActiveRequest) -> None:
        """Removes a request that has been answered and has no attempt left."""
        if request.finished and not request.active_attempts and self.active_requests.pop(request.id, None):
            request.transition_to(RequestState.REMOVED)
            # Ends the cycle of references: its command would stay in memory until a full garbage collection.
            request.slot.active_request = None
            self.held_command_bytes -= request.command_bytes

    def log_request_end(self, kind: EventKind, reason: str, request: ActiveRequest) -> None:
        """Logs why a request was refused or failed."""
        client = request.slot.connection
        ids = {"id": request.id, "connection": client.number, "state": client.state.value}
        self.event_log.log(kind, reason, **ids, attempts=request.attempts_written)

    # Actions: one method for each class of actions, and the callbacks of what they start

    def refuse(self, action: api.Refuse) -> None:
        """Refuses a request and tells the client when to retry, in milliseconds."""
        if action.id in self.active_requests:
            self.log_request_end(EventKind.REQUEST_REFUSED, action.reason, self.active_requests[action.id])
            retry_after_ms = math.ceil(action.retry_after * 1000)
            self.finish_request(
                self.active_requests[action.id],
                b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else BUSY,
            )

    def fail(self, action: api.Fail) -> None:
        """Answers a request with an error."""
        if action.id in self.active_requests:
            self.log_request_end(EventKind.REQUEST_FAILED, action.reason, self.active_requests[action.id])
            self.finish_request(self.active_requests[action.id], FAILED_RESPONSE)

    def send(self, action: api.Send) -> None:
        """Starts an attempt of a request at a server, if the rules still allow it."""
        request = self.active_requests.get(action.id)
        if request is None or request.finished:
            return
        number = request.attempts_created
        request.attempts_created += 1
        attempt = Attempt(action.server, self.build_command, self.attempt_done, (request, number))
        attempt.slow_start, attempt.may_finish_write = action.slow_start, self.may_finish_write
        verdict = self.attempt_control.may_write(attempt, connected_late=False)
        if verdict is not Verdict.ALLOWED:
            if verdict is Verdict.CLIENT_GONE:
                self.finish_request(request, b"")
            self.submit_event(api.Outcome(request.id, number, action.server, "moot", 0.0, request.finished))
            return
        request.active_attempts[number] = attempt
        attempt.permitted = True  # valid only during this call
        remaining = request.deadline - time.monotonic()
        self.server_connections.send(
            attempt, min(remaining, action.timeout) if action.timeout > 0 else remaining
        )
        attempt.permitted = False
        self.retry_window_timers.watch(request)

    def admits_delayed_attempt(self, now: float, request_id: str, number: int, server_id: str) -> bool:
        """Asks the policy whether slow start allows an attempt whose connection was established late."""
        return self.policy.admits_delayed_attempt(now, request_id, number, server_id)

    def build_command(self, attempt: Attempt) -> bytes | None:
        """Returns the bytes to send to the server, or None if the attempt may not be sent any more.

        Called when its connection is ready to be written to.
        """
        request, _ = attempt.request_and_number
        if not attempt.permitted:
            verdict = self.attempt_control.may_write(attempt, connected_late=True)
            if verdict is not Verdict.ALLOWED:
                if verdict is Verdict.CLIENT_GONE:
                    self.handle_client_gone(request.slot)
                return None
        command = self.attempt_control.prepare_write(attempt)
        if not attempt.permitted:
            self.retry_window_timers.watch(request)
        return command

    def may_finish_write(self, attempt: Attempt, begun: bool) -> bool:
        """Returns whether the rest of a partly written command may be sent.

        `begun` means that the socket took at least one byte.
        """
        request, _ = attempt.request_and_number
        verdict = self.attempt_control.may_finish_write(attempt, begun)
        if verdict is Verdict.CLIENT_GONE:
            self.handle_client_gone(request.slot)
        return verdict is Verdict.ALLOWED

    def withhold_attempt(self, attempt: Attempt) -> None:
        """Ends an attempt whose retry window has closed while it waited for a connection."""
        self.attempt_control.log_refusal(attempt, Verdict.RETRY_WINDOW_CLOSED)
        self.server_connections.withhold(attempt)

    def attempt_done(self, attempt: Attempt) -> None:
        """Answers the request of an attempt that has ended, if it succeeded, and reports it to the policy."""
        request, number = attempt.request_and_number
        result, was_finished = attempt.result, request.finished
        del request.active_attempts[number]
        if result in api.NEVER_EXECUTED_RESULTS:
            request.write_times.pop(number, None)
        if result != "ok":
            ids = {
                "id": request.id,
                "attempt": number,
                "server": attempt.server,
                "state": request.state.value,
            }
            self.event_log.log(EventKind.ATTEMPT_ENDED, result, **ids)
        if was_finished and (result == "connect_failed" or result in api.NOT_STARTED_RESULTS):
            result = "moot"  # cancelled before it was sent, which says nothing about the server
        elif result == "ok" and not was_finished:
            self.finish_request(request, encode_bulk_string(attempt.value))
        self.remove_if_done(request)
        self.submit_event(
            api.Outcome(
                request.id,
                number,
                attempt.server,
                result,
                attempt.elapsed(),
                request.finished,
                quota_usage=attempt.quota_usage,
                report=attempt.report,
            )
        )

    def cancel(self, action: api.Cancel) -> None:
        """Cancels one attempt."""
        request = self.active_requests.get(action.id)
        if request is not None and action.attempt in request.active_attempts:
            self.server_connections.cancel_attempt(request.active_attempts[action.attempt], "cancelled")

    def probe(self, action: api.Probe) -> None:
        """Starts a probe of a server."""
        self.server_connections.probe(action.server, self.handle_probe_result)

    def handle_probe_result(self, attempt: Attempt) -> None:
        """Reports a probe that has ended to the policy."""
        self.submit_event(api.ProbeResult(attempt.server, attempt.result, attempt.elapsed(), attempt.report))

    def add_to_counter(self, action: api.AddToCounter) -> None:
        """Calls the counter service; without one the call fails in the next turn of the event loop."""
        if self.counter is None:
            self.loop.call_soon(self.handle_counter_result, action.counter_key, "connect_failed", 0.0, 0.0)
        else:
            self.counter.add(action.counter_key, action.amount, action.lifetime, self.handle_counter_result)

    def handle_counter_result(self, counter_key: int, result: str, total: float, elapsed: float) -> None:
        """Reports a call of the counter service that has ended to the policy."""
        self.submit_event(api.CounterResult(counter_key, result, total, elapsed))

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
            self.submit_event(api.TimerExpired(label))

    # Shutdown

    async def stop(self) -> None:
        """Shuts down after SIGTERM.

        New connections are accepted for LINGER, then the accepted requests are finished. Clients send on any
        connection that is open, so each is closed as soon as it has no active request and no unread bytes.
        """
        started_at = time.monotonic()
        self.set_state(ProcessState.LINGERING)
        await asyncio.sleep(LINGER)
        await self.clients.stop_accepting()
        self.set_state(ProcessState.FINISHING)
        self.clients.drain()
        await self.wait_until_idle(started_at + self.shutdown_timeout)
        self.set_state(ProcessState.REFUSING)
        for request in list(self.active_requests.values()):
            self.abort_request(request, Verdict.SHUTTING_DOWN.value)
        await self.wait_until_idle(time.monotonic() + FINAL_FLUSH_TIMEOUT)
        self.set_state(ProcessState.ENDED)
        self.clients.close()
        self.server_connections.close()
        if self.counter:
            self.counter.close()
        self.discovery.close()
        self.log_counts()

    def log_counts(self) -> None:
        """Logs the counts of events by reason since the start, and the violations."""
        log.info("counts %s", self.event_log.summary())

    async def wait_until_idle(self, deadline: float) -> None:
        """Waits until no request is active and all client connections are closed, or until the deadline."""
        while (self.active_requests or self.clients.connections) and time.monotonic() < deadline:
            await asyncio.sleep(IDLE_POLL_INTERVAL)
