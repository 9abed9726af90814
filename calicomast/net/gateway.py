"""Feeds what happens on the sockets to the one decision module and carries out what it decides.

Nothing here decides. This file owns the timers and each request's single final answer. Each event and action
of interface.py has its place here, but for AttemptStarted and PeerMessage: the sockets know no streams
and no peers.
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
from calicomast.net.clients import FAILED_RESPONSE, ClientConnections, ResponseSlot
from calicomast.net.clock import Clock
from calicomast.net.config import Config
from calicomast.net.counter import CounterClient
from calicomast.net.discovery import DiscoveryClient
from calicomast.net.events import EventKind, EventLog
from calicomast.net.lifecycle import ProcessState, RequestState, transition
from calicomast.net.requests import (
    ActiveRequest,
    BadRequest,
    encode_bulk_string,
    parse_request,
    validate_command,
)
from calicomast.net.server_connections import Attempt, ServerConnections
from calicomast.net.server_list import ServerList
from calicomast.net.server_table import ServerTable
from calicomast.policy import GatewayPolicy
from calicomast.rules import Verdict, may_accept_request

RESPONSE_MARGIN = 0.03  # s before the client gives up by which the module is to be done
# s after it for which an answer is still worth nothing but is one; later the request is lost
LATE_ANSWER_GRACE = 0.55
# s before that by which a request without an answer is failed, whatever the module does
DEADLINE_GUARD_MARGIN = 0.01
BASE_MEMORY_BYTES = 40 * 1024 * 1024  # bytes that the program takes itself, with some to spare
LEAST_HELD = 4 * 1024 * 1024  # bytes of bodies, and as many of half commands, that there is always room for
MIN_SERVER_LIST_BYTES = 1024 * 1024  # bytes of a list of servers that there is always room for
LIST_PART = 4  # part of the memory beyond the program's own that the text of a list may have
LONG_LIST = 1000  # servers
SPARE_SOCKETS = 64  # descriptors that are neither clients' nor hosts' connections
LINGER = 0.5  # s after SIGTERM in which connections still come
KILL_MOST, KILL_MORE = 3.0, 0.7  # s to SIGKILL: the longest deadline, so long at most, and as much more
KILL_MARGIN = 0.3  # s before SIGKILL by which everything is answered
# s for the last answers to be written; between looks whether all is done
FINAL_FLUSH_TIMEOUT, STEP = 0.1, 0.01

BUSY = b"-BUSY\r\n"
PONG = b"+PONG\r\n"

log = logging.getLogger(__name__)


def max_server_list_bytes(memory: int) -> int:
    """Bytes that a list of servers may have where so many bytes of memory may be taken: what is held of an
    entry takes about three times its text."""
    return max(MIN_SERVER_LIST_BYTES, (memory - BASE_MEMORY_BYTES) // LIST_PART)


class GatewayService:
    def __init__(self, config: Config) -> None:
        self.config, self.settings, self.clock = config, config.settings, Clock()
        self.loop = asyncio.get_running_loop()
        self.policy = GatewayPolicy(config.settings, config.seed, self.clock())
        self.active_requests: dict[str, ActiveRequest] = {}
        self.held_body_bytes = 0  # bytes of bodies in work
        self.events: deque[api.Event] = deque()
        self.feeding = self.ready = False
        self.state = ProcessState.SERVING
        self.event_log = EventLog()
        longest = self.longest = max(cls.deadline for cls in self.settings.classes.values())
        self.shutdown_timeout = min(longest, KILL_MOST) + KILL_MORE - min(KILL_MARGIN, longest / 2)
        room = max(config.max_sockets - SPARE_SOCKETS, config.max_sockets // 2)
        # Bodies in work and half commands are bounded: past the limit of memory the program is killed.
        self.most_held = max(LEAST_HELD, (config.memory_limit - BASE_MEMORY_BYTES) // 4)
        self.clients = ClientConnections(self, room // 2, self.most_held, self.event_log)
        self.server_table = ServerTable(
            self.feed, lambda server: self.server_connections.stop_server(server), self.clock.local_start_time
        )
        self.server_connections = ServerConnections(
            config.connect_timeout, config.server_idle_timeout, room // 2, self.server_table.address_of
        )
        self.control = AttemptControl(
            config.settings, self.clock, self.server_table.is_available, self.admits_late, self.event_log
        )
        self.counter = (
            CounterClient(config.counter, self.settings.counter_timeout) if config.counter else None
        )
        self.max_server_list_bytes = max_server_list_bytes(config.memory_limit)
        self.discovery_generation = 0  # discoveries that were named one after another
        self.discovery = self.new_discovery(
            config, config.known_servers.version, held=bool(config.known_servers.entries)
        )
        self.endings: set[asyncio.Task[None]] = set()  # what a new configuration replaced, until it has ended
        self.actions = {
            api.Send: self.send,
            api.Refuse: self.refuse,
            api.Fail: self.fail,
            api.Cancel: self.cancel,
            api.AddToCounter: self.count,
            api.SetTimer: self.set_timer,
            api.Probe: self.probe,
            api.CloseConnections: lambda a: self.server_connections.close_idle(a.server),
            api.FetchServerList: lambda a: self.discovery.fetch(),
            api.WatchServerList: lambda a: self.discovery.watch(a.enabled),
            api.Log: lambda a: log.info("module: %s", a.text),
        }

    async def start(self) -> None:
        """All but the listener: before the first client comes the module knows its hosts."""
        for _ in self.apply_server_list(self.config.known_servers):
            pass
        self.server_connections.start_idle_checks()
        if self.counter:
            self.counter.start()
        if self.settings.discovery == "push":
            self.discovery.watch(True)

    async def listen(self) -> int:
        """Returns the port that clients connect to."""
        return await self.clients.listen(*self.config.listen)

    def reload(self, config: Config) -> None:
        """Goes over to the addresses of a new configuration. The rest of it holds from the next start on."""
        if self.stopping:
            self.event_log.log(EventKind.CONFIGURATION, Verdict.SHUTTING_DOWN.value)
            return
        old, self.config = self.config, config
        if (old.settings, old.listen, old.max_sockets) != (
            config.settings,
            config.listen,
            config.max_sockets,
        ):
            log.warning("only new addresses of discovery and counter are taken up before the next start")
        if self.counter and config.counter:
            self.counter.change_address(config.counter)
        replaced = self.discovery
        self.discovery = self.new_discovery(config, replaced.version, held=False)
        if replaced.watch_task:  # the watch begins with the whole list: another service has its own versions
            self.discovery.watch(True)
        ending = self.loop.create_task(replaced.close())
        self.endings.add(ending)
        ending.add_done_callback(self.endings.discard)
        log.info("new configuration: discovery %s:%d", *config.discovery)

    def new_discovery(self, config: Config, version: int, held: bool) -> DiscoveryClient:
        self.discovery_generation += 1
        source = self.discovery_generation
        return DiscoveryClient(
            config.discovery,
            version,
            lambda listing: self.apply_server_list(listing, source),
            self.list_failed,
            has_list=held,
            drain_grace=self.settings.rules.drain_grace,
            max_body_bytes=self.max_server_list_bytes,
            known_entries=self.server_table.entries,
        )

    @property
    def stopping(self) -> bool:
        """Whether SIGTERM was heard."""
        return self.state is not ProcessState.SERVING

    @property
    def refusing(self) -> bool:
        """Whether what is still read is refused at once."""
        return self.state in (ProcessState.REFUSING, ProcessState.ENDED)

    def become(self, state: ProcessState) -> None:
        """Changes the state of the process."""
        self.state = transition(self.state, state)

    # Events

    def feed(self, event: api.Event) -> None:
        """Hands events over one after another: what an action causes at once waits its turn."""
        self.events.append(event)
        if self.feeding:
            return
        self.feeding = True
        try:
            while self.events:
                self.handle(self.events.popleft())
        finally:
            self.feeding = False

    def handle(self, event: api.Event) -> None:
        try:
            actions = self.policy.handle(self.clock(), event)
        except Exception:  # one request must not take the others along
            log.exception("the module failed on %s", type(event).__name__)
            if isinstance(event, api.Request | api.Outcome) and event.id in self.active_requests:
                self.abort_request(self.active_requests[event.id], "module failed")
            return
        for action in actions:
            try:
                self.actions[type(action)](action)
            except Exception:  # nor one action the rest; the guard answers what it was for
                log.exception("%r could not be carried out", action)

    def abort_request(self, work: ActiveRequest, reason: str) -> None:
        """Fails a request by itself and lets the module forget it."""
        if not work.finished:
            self.tell_end(EventKind.REQUEST_FAILED, reason, work)
        self.finish_request(work, FAILED_RESPONSE)
        for attempt in list(work.active_attempts.values()):
            self.server_connections.cancel_attempt(attempt, "cancelled")
        self.feed(api.ClientDisconnected(work.id))

    def apply_server_list(self, listing: ServerList, source: int = 0) -> Iterator[None]:
        """Takes a list of servers over in slices; raises ValueError if it may not be put in force. `source`:
        the number of the discovery that told it; 0 for the configuration."""
        self.check_server_list(listing, source)
        long = len(listing.entries) > LONG_LIST
        for _ in self.server_table.apply(listing):
            yield
            self.check_server_list(listing, source)  # the configuration may have named another meanwhile
        self.ready = self.ready or self.server_table.any_available()
        if long:
            gc.freeze()  # most of it stays for good: no collection need look at it again

    def check_server_list(self, listing: ServerList, source: int) -> None:
        """Raises ValueError if a list may not be put in force, or not be gone on with."""
        try:
            self.server_table.validate(listing, source_current=source in (0, self.discovery_generation))
        except ValueError as err:
            self.event_log.log(EventKind.LIST_NOT_APPLIED, str(err), version=listing.version)
            raise

    def list_failed(self) -> None:
        if self.settings.discovery == "ask":
            self.feed(api.ServerListUpdate("failed", self.discovery.version, ()))

    # Clients

    def handle_command(self, slot: ResponseSlot, command: object) -> None:
        if command == [b"PING"] or command == [b"ping"]:
            slot.reply(PONG if self.ready and not self.stopping else b"-ERR not ready\r\n")
            return
        try:
            self.accept_request(slot, command)
        except BadRequest as err:
            self.event_log.count(EventKind.REQUEST_NOT_TAKEN, str(err))
            slot.reply(b"-ERR %s\r\n" % str(err).encode())
        except Exception:
            log.exception("a command could not be taken")
            if slot.response is None:
                slot.reply(FAILED_RESPONSE)

    def accept_request(self, slot: ResponseSlot, told: object) -> None:
        """Takes a request on, or refuses it at once; raises BadRequest."""
        command = validate_command(told)
        request = parse_request(command, self.settings, RESPONSE_MARGIN + slot.connection.read_delay())
        if request.id in self.active_requests:
            raise BadRequest("this id is in work")
        verdict = may_accept_request(
            shutting_down=self.refusing,
            active_requests=len(self.active_requests),
            max_active_requests=self.config.max_active_requests,
            body_bytes=self.held_body_bytes,
            max_body_bytes=self.most_held,
        )
        if verdict is not Verdict.ALLOWED:
            self.event_log.count(EventKind.REQUEST_REFUSED, verdict.value)
            slot.reply(BUSY)
            return
        now = time.monotonic()
        work = ActiveRequest(request.id, slot, command, now + request.remaining_time)
        slot.active_request, slot.expires_at = (
            work,
            now + min(request.remaining_time + RESPONSE_MARGIN, self.longest) + LATE_ANSWER_GRACE,
        )
        self.active_requests[request.id] = work
        self.held_body_bytes += len(command[-1])
        work.deadline_timer = self.loop.call_later(
            max(0.0, request.remaining_time + RESPONSE_MARGIN - DEADLINE_GUARD_MARGIN),
            self.fail_overdue,
            work,
        )
        self.feed(request)

    def handle_client_gone(self, slot: ResponseSlot) -> None:
        """The client went away: nothing more is sent for its request."""
        work = slot.active_request
        if work is not None and not work.finished:
            self.finish_request(work, b"")
            self.feed(api.ClientDisconnected(work.id))

    def fail_overdue(self, work: ActiveRequest) -> None:
        """Guards the client's deadline against a module that says nothing."""
        if not work.finished:
            self.abort_request(work, "no decision before its deadline")

    def finish_request(self, work: ActiveRequest, answer: bytes) -> None:
        """The one place where a request gets its final answer."""
        if work.finished:
            return
        work.transition_to(RequestState.ANSWERED)
        if work.deadline_timer is not None:
            work.deadline_timer.cancel()
        if answer:
            work.slot.reply(answer)
        for attempt in list(work.active_attempts.values()):
            if not attempt.written:  # after the final answer nothing more is sent
                self.server_connections.cancel_attempt(attempt, "cancelled")
        self.forget(work)

    def forget(self, work: ActiveRequest) -> None:
        if work.finished and not work.active_attempts and self.active_requests.pop(work.id, None):
            work.transition_to(RequestState.REMOVED)
            self.held_body_bytes -= len(work.command[-1])

    def tell_end(self, kind: EventKind, reason: str, work: ActiveRequest) -> None:
        """Notes why a request is given up."""
        client = work.slot.connection
        ids = {"id": work.id, "connection": client.number, "state": client.state.value}
        self.event_log.log(kind, reason, **ids, attempts=work.attempts_written)

    # Actions

    def refuse(self, action: api.Refuse) -> None:
        if action.id in self.active_requests:
            self.tell_end(EventKind.REQUEST_REFUSED, action.reason, self.active_requests[action.id])
            wait = math.ceil(action.retry_after * 1000)
            self.finish_request(self.active_requests[action.id], b"-BUSY %d\r\n" % wait if wait > 0 else BUSY)

    def fail(self, action: api.Fail) -> None:
        if action.id in self.active_requests:
            self.tell_end(EventKind.REQUEST_FAILED, action.reason, self.active_requests[action.id])
            self.finish_request(self.active_requests[action.id], FAILED_RESPONSE)

    def send(self, action: api.Send) -> None:
        work = self.active_requests.get(action.id)
        if work is None or work.finished:
            return
        number = work.attempts_created
        work.attempts_created += 1
        attempt = Attempt(action.server, self.prepare_payload, self.attempt_done, (work, number))
        attempt.retry_until, attempt.slow_start = action.retry_deadline, action.slow_start
        verdict = self.control.may_write(attempt, connected_late=False)
        if verdict is not Verdict.ALLOWED:
            if verdict is Verdict.CLIENT_GONE:
                self.finish_request(work, b"")
            self.feed(api.Outcome(work.id, number, action.server, "moot", 0.0, work.finished))
            return
        work.active_attempts[number] = attempt
        attempt.permitted = True  # for as long as this step lasts
        left = work.deadline - time.monotonic()
        self.server_connections.send(attempt, min(left, action.timeout) if action.timeout > 0 else left)
        attempt.permitted = False

    def admits_late(self, now: float, id: str, number: int, server: str) -> bool:
        """Asks the module about an attempt at a cold server whose connection came up late."""
        return self.policy.admits_delayed_attempt(now, id, number, server)

    def prepare_payload(self, attempt: Attempt) -> bytes | None:
        """What goes to the server, worked out as its connection is there to be written to; None if it may not
        be sent any more."""
        work, _ = attempt.tag
        if not attempt.permitted:
            verdict = self.control.may_write(attempt, connected_late=True)
            if verdict is not Verdict.ALLOWED:
                if verdict is Verdict.CLIENT_GONE:
                    self.handle_client_gone(work.slot)
                return None
        return self.control.prepare_write(attempt)

    def attempt_done(self, attempt: Attempt) -> None:
        work, number = attempt.tag
        result, over = attempt.result, work.finished
        del work.active_attempts[number]
        if result != "ok":
            ids = {"id": work.id, "attempt": number, "server": attempt.server, "state": work.state.value}
            self.event_log.log(EventKind.ATTEMPT_ENDED, result, **ids)
        if over and (result == "connect_failed" or result in api.NOT_STARTED_RESULTS):
            result = "moot"  # called off before it was sent, which says nothing of the host
        elif result == "ok" and not over:
            self.finish_request(work, encode_bulk_string(attempt.value))
        self.forget(work)
        self.feed(
            api.Outcome(
                work.id,
                number,
                attempt.server,
                result,
                attempt.elapsed(),
                work.finished,
                quota_use=attempt.quota_usage,
                report=attempt.report,
            )
        )

    def cancel(self, action: api.Cancel) -> None:
        work = self.active_requests.get(action.id)
        if work is not None and action.attempt in work.active_attempts:
            self.server_connections.cancel_attempt(work.active_attempts[action.attempt], "cancelled")

    def probe(self, action: api.Probe) -> None:
        self.server_connections.probe(action.server, self.probed)

    def probed(self, attempt: Attempt) -> None:
        self.feed(api.ProbeResult(attempt.server, attempt.result, attempt.elapsed(), attempt.report))

    def count(self, action: api.AddToCounter) -> None:
        if self.counter is None:
            self.loop.call_soon(self.counted, action.name, "connect_failed", 0.0, 0.0)
        else:
            self.counter.add(action.name, action.amount, action.lifetime, self.counted)

    def counted(self, name: int, result: str, total: float, elapsed: float) -> None:
        self.feed(api.CounterResult(name, result, total, elapsed))

    def set_timer(self, action: api.SetTimer) -> None:
        self.loop.call_later(action.delay, self.due, action.label, self.clock() + action.delay)

    def due(self, label: int, at: float) -> None:
        """The loop's timers tick in milliseconds and may fire early; the module would take an early one for
        another and set no further."""
        left = at - self.clock()
        if left > 0:
            self.loop.call_later(left + 0.001, self.due, label, at)
        else:
            self.feed(api.TimerExpired(label))

    # The end

    async def stop(self) -> None:
        """After SIGTERM: goes on while connections still come, then finishes what it has taken. Clients send
        on each connection that is open, so each is closed where nothing on it is in work or unread."""
        began = time.monotonic()
        self.become(ProcessState.LINGERING)
        await asyncio.sleep(LINGER)
        await self.clients.stop_accepting()
        self.become(ProcessState.FINISHING)
        self.clients.drain()
        await self.idle(began + self.shutdown_timeout)
        self.become(ProcessState.REFUSING)
        for work in list(self.active_requests.values()):
            self.abort_request(work, Verdict.SHUTTING_DOWN.value)
        await self.idle(time.monotonic() + FINAL_FLUSH_TIMEOUT)
        self.become(ProcessState.ENDED)
        self.clients.close()
        self.server_connections.close()
        if self.counter:
            self.counter.close()
        await asyncio.gather(self.discovery.close(), *self.endings)
        self.print_counts()

    def print_counts(self) -> None:
        """Logs what ended and why since the start, and the violations."""
        log.info("counts %s", self.event_log.summary())

    async def idle(self, until: float) -> None:
        """Waits for nothing to be in work, and all answers to be written and their connections closed."""
        while (self.active_requests or self.clients.connections) and time.monotonic() < until:
            await asyncio.sleep(STEP)
