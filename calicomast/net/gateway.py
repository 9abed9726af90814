"""Feeds what happens on the sockets to the one decision module and carries out what it decides.

Nothing here decides. This file owns the timers and each request's single final answer. Each event and action
of interface.py has its place here, but for Began and Message: the sockets know no streams and no peers.
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
        self.policy = Gateway(config.settings, config.seed, self.clock())
        self.active_requests: dict[str, Work] = {}
        self.held_body_bytes = 0  # bytes of bodies in work
        self.events: deque[api.Event] = deque()
        self.feeding = self.ready = False
        self.state = ProcessState.SERVING
        self.event_log = EventLog()
        longest = self.longest = max(cls.deadline for cls in self.settings.classes.values())
        self.shutdown_timeout = min(longest, KILL_MOST) + KILL_MORE - min(KILL_MARGIN, longest / 2)
        room = max(config.sockets - SPARE_SOCKETS, config.sockets // 2)
        # Bodies in work and half commands are bounded: past the limit of memory the program is killed.
        self.most_held = max(LEAST_HELD, (config.memory - BASE_MEMORY_BYTES) // 4)
        self.clients = ClientServer(self, room // 2, self.most_held, self.event_log)
        self.server_table = ServerTable(
            self.feed, lambda server: self.server_connections.stop(server), self.clock.started
        )
        self.server_connections = Hosts(
            config.connect_timeout, config.idle_close, room // 2, self.server_table.address
        )
        self.control = AttemptControl(
            config.settings, self.clock, self.server_table.listed, self.admits_late, self.event_log
        )
        self.counter = Counter(config.counter, self.settings.counter_timeout) if config.counter else None
        self.max_server_list_bytes = max_server_list_bytes(config.memory)
        self.discovery_generation = 0  # discoveries that were named one after another
        self.discovery = self.new_discovery(config, config.known.version, held=bool(config.known.entries))
        self.endings: set[asyncio.Task[None]] = set()  # what a new configuration replaced, until it has ended
        self.actions = {
            api.Send: self.send,
            api.Refuse: self.refuse,
            api.Fail: self.fail,
            api.Cancel: self.cancel,
            api.Count: self.count,
            api.SetTimer: self.set_timer,
            api.Probe: self.probe,
            api.Close: lambda a: self.server_connections.close_idle(a.host),
            api.Fetch: lambda a: self.discovery.fetch(),
            api.Watch: lambda a: self.discovery.watch(a.on),
            api.Log: lambda a: log.info("module: %s", a.text),
        }

    async def start(self) -> None:
        """All but the listener: before the first client comes the module knows its hosts."""
        for _ in self.apply_server_list(self.config.known):
            pass
        self.server_connections.start_checks()
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
            self.event_log.tell(Kind.CONFIGURATION, Verdict.SHUTTING_DOWN.value)
            return
        old, self.config = self.config, config
        if (old.settings, old.listen, old.sockets) != (config.settings, config.listen, config.sockets):
            log.warning("only new addresses of discovery and counter are taken up before the next start")
        if self.counter and config.counter:
            self.counter.move(config.counter)
        replaced = self.discovery
        self.discovery = self.new_discovery(config, replaced.version, held=False)
        if replaced.watching:  # the watch begins with the whole list: another service has versions of its own
            self.discovery.watch(True)
        ending = self.loop.create_task(replaced.close())
        self.endings.add(ending)
        ending.add_done_callback(self.endings.discard)
        log.info("new configuration: discovery %s:%d", *config.discovery)

    def new_discovery(self, config: Config, version: int, held: bool) -> Discovery:
        self.discovery_generation += 1
        source = self.discovery_generation
        return Discovery(
            config.discovery,
            version,
            lambda listing: self.apply_server_list(listing, source),
            self.list_failed,
            held=held,
            grace=self.settings.rules.drain_grace,
            most=self.max_server_list_bytes,
            entries=self.server_table.entries,
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
        self.state = change(self.state, state)

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

    def abort_request(self, work: Work, reason: str) -> None:
        """Fails a request by itself and lets the module forget it."""
        if not work.over:
            self.tell_end(Kind.REQUEST_FAILED, reason, work)
        self.finish_request(work, FAILED)
        for attempt in list(work.live.values()):
            self.server_connections.give_up(attempt, "cancelled")
        self.feed(api.Gone(work.id))

    def apply_server_list(self, listing: Listing, source: int = 0) -> Iterator[None]:
        """Takes a list of servers over in slices; raises ValueError if it may not be put in force. `source`:
        the number of the discovery that told it; 0 for the configuration."""
        self.check_server_list(listing, source)
        long = len(listing.entries) > LONG_LIST
        for _ in self.server_table.take(listing):
            yield
            self.check_server_list(listing, source)  # the configuration may have named another meanwhile
        self.ready = self.ready or self.server_table.any_to_send_to()
        if long:
            gc.freeze()  # most of it stays for good: no collection need look at it again

    def check_server_list(self, listing: Listing, source: int) -> None:
        """Raises ValueError if a list may not be put in force, or not be gone on with."""
        try:
            self.server_table.check(listing, source_current=source in (0, self.discovery_generation))
        except ValueError as err:
            self.event_log.tell(Kind.LIST_NOT_APPLIED, str(err), version=listing.version)
            raise

    def list_failed(self) -> None:
        if self.settings.discovery == "ask":
            self.feed(api.HostList("failed", self.discovery.version, ()))

    # Clients

    def handle_command(self, slot: Slot, command: object) -> None:
        if command == [b"PING"] or command == [b"ping"]:
            slot.reply(PONG if self.ready and not self.stopping else b"-ERR not ready\r\n")
            return
        try:
            self.accept_request(slot, command)
        except BadRequest as err:
            self.event_log.note(Kind.REQUEST_NOT_TAKEN, str(err))
            slot.reply(b"-ERR %s\r\n" % str(err).encode())
        except Exception:
            log.exception("a command could not be taken")
            if slot.answer is None:
                slot.reply(FAILED)

    def accept_request(self, slot: Slot, told: object) -> None:
        """Takes a request on, or refuses it at once; raises BadRequest."""
        command = check_form(told)
        request = read_request(command, self.settings, RESPONSE_MARGIN + slot.client.waited())
        if request.id in self.active_requests:
            raise BadRequest("this id is in work")
        verdict = may_take_request(
            ending=self.refusing,
            in_work=len(self.active_requests),
            most_in_work=self.config.max_open,
            held=self.held_body_bytes,
            most_held=self.most_held,
        )
        if verdict is not Verdict.ALLOWED:
            self.event_log.note(Kind.REQUEST_REFUSED, verdict.value)
            slot.reply(BUSY)
            return
        now = time.monotonic()
        work = Work(request.id, slot, command, now + request.left)
        slot.token, slot.due = (
            work,
            now + min(request.left + RESPONSE_MARGIN, self.longest) + LATE_ANSWER_GRACE,
        )
        self.active_requests[request.id] = work
        self.held_body_bytes += len(command[-1])
        work.guard = self.loop.call_later(
            max(0.0, request.left + RESPONSE_MARGIN - DEADLINE_GUARD_MARGIN), self.fail_overdue, work
        )
        self.feed(request)

    def handle_client_gone(self, slot: Slot) -> None:
        """The client went away: nothing more is sent for its request."""
        work = slot.token
        if work is not None and not work.over:
            self.finish_request(work, b"")
            self.feed(api.Gone(work.id))

    def fail_overdue(self, work: Work) -> None:
        """Guards the client's deadline against a module that says nothing."""
        if not work.over:
            self.abort_request(work, "no decision before its deadline")

    def finish_request(self, work: Work, answer: bytes) -> None:
        """The one place where a request gets its final answer."""
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
        self.forget(work)

    def forget(self, work: Work) -> None:
        if work.over and not work.live and self.active_requests.pop(work.id, None):
            work.become(RequestState.FORGOTTEN)
            self.held_body_bytes -= len(work.command[-1])

    def tell_end(self, kind: Kind, reason: str, work: Work) -> None:
        """Notes why a request is given up."""
        client = work.slot.client
        ids = {"id": work.id, "connection": client.number, "state": client.state.value}
        self.event_log.tell(kind, reason, **ids, attempts=work.begun)

    # Actions

    def refuse(self, action: api.Refuse) -> None:
        if action.id in self.active_requests:
            self.tell_end(Kind.REQUEST_REFUSED, action.reason, self.active_requests[action.id])
            wait = math.ceil(action.retry_after * 1000)
            self.finish_request(self.active_requests[action.id], b"-BUSY %d\r\n" % wait if wait > 0 else BUSY)

    def fail(self, action: api.Fail) -> None:
        if action.id in self.active_requests:
            self.tell_end(Kind.REQUEST_FAILED, action.reason, self.active_requests[action.id])
            self.finish_request(self.active_requests[action.id], FAILED)

    def send(self, action: api.Send) -> None:
        work = self.active_requests.get(action.id)
        if work is None or work.over:
            return
        number = work.sends
        work.sends += 1
        attempt = Attempt(action.host, self.prepare_payload, self.attempt_done, (work, number))
        attempt.repeat_until, attempt.cold = action.repeat_until, action.cold
        verdict = self.control.judge(attempt, late=False)
        if verdict is not Verdict.ALLOWED:
            if verdict is Verdict.CLIENT_GONE:
                self.finish_request(work, b"")
            self.feed(api.Outcome(work.id, number, action.host, "moot", 0.0, work.over))
            return
        work.live[number] = attempt
        attempt.judged = True  # for as long as this step lasts
        left = work.deadline - time.monotonic()
        self.server_connections.send(attempt, min(left, action.timeout) if action.timeout > 0 else left)
        attempt.judged = False

    def admits_late(self, now: float, id: str, number: int, server: str) -> bool:
        """Asks the module about an attempt at a cold server whose connection came up late."""
        return self.policy.admits_late(now, id, number, server)

    def prepare_payload(self, attempt: Attempt) -> bytes | None:
        """What goes to the server, worked out as its connection is there to be written to; None if it may not
        be sent any more."""
        work, _ = attempt.tag
        if not attempt.judged:
            verdict = self.control.judge(attempt, late=True)
            if verdict is not Verdict.ALLOWED:
                if verdict is Verdict.CLIENT_GONE:
                    self.handle_client_gone(work.slot)
                return None
        return self.control.write(attempt)

    def attempt_done(self, attempt: Attempt) -> None:
        work, number = attempt.tag
        result, over = attempt.result, work.over
        del work.live[number]
        if result != "ok":
            ids = {"id": work.id, "attempt": number, "server": attempt.host, "state": work.state.value}
            self.event_log.tell(Kind.ATTEMPT_ENDED, result, **ids)
        if over and (result == "connect_failed" or result in api.NEVER_BEGAN):
            result = "moot"  # called off before it was sent, which says nothing of the host
        elif result == "ok" and not over:
            self.finish_request(work, bulk(attempt.value))
        self.forget(work)
        self.feed(
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
        work = self.active_requests.get(action.id)
        if work is not None and action.attempt in work.live:
            self.server_connections.give_up(work.live[action.attempt], "cancelled")

    def probe(self, action: api.Probe) -> None:
        self.server_connections.probe(action.host, self.probed)

    def probed(self, attempt: Attempt) -> None:
        self.feed(api.Probed(attempt.host, attempt.result, attempt.elapsed(), attempt.report))

    def count(self, action: api.Count) -> None:
        if self.counter is None:
            self.loop.call_soon(self.counted, action.name, "connect_failed", 0.0, 0.0)
        else:
            self.counter.add(action.name, action.amount, action.lifetime, self.counted)

    def counted(self, name: int, result: str, total: float, elapsed: float) -> None:
        self.feed(api.Counted(name, result, total, elapsed))

    def set_timer(self, action: api.SetTimer) -> None:
        self.loop.call_later(action.delay, self.due, action.label, self.clock() + action.delay)

    def due(self, label: int, at: float) -> None:
        """The loop's timers tick in milliseconds and may fire early; the module would take an early one for
        another and set no further."""
        left = at - self.clock()
        if left > 0:
            self.loop.call_later(left + 0.001, self.due, label, at)
        else:
            self.feed(api.Timer(label))

    # The end

    async def stop(self) -> None:
        """After SIGTERM: goes on while connections still come, then finishes what it has taken. Clients send
        on each connection that is open, so each is closed where nothing on it is in work or unread."""
        began = time.monotonic()
        self.become(ProcessState.LINGERING)
        await asyncio.sleep(LINGER)
        await self.clients.no_more()
        self.become(ProcessState.FINISHING)
        self.clients.finish()
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
        self.log_counts()

    def log_counts(self) -> None:
        """Logs what ended and why since the start, and the violations."""
        log.info("counts %s", self.event_log.summary())

    async def idle(self, until: float) -> None:
        """Waits for nothing to be in work, and all answers to be written and their connections closed."""
        while (self.active_requests or self.clients.clients) and time.monotonic() < until:
            await asyncio.sleep(STEP)
