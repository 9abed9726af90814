"""Adapter to the simulator: connects the simulator's text protocol to the policy.

It reads batches of events from standard input, passes each event to the policy of the gateway that it names,
and writes the resulting actions to standard output. It makes no decisions of its own.

Run it as `python -m calicomast.adapter`.
"""

from __future__ import annotations

import math
import sys
import traceback
from typing import Any, TextIO

from calicomast import interface as api
from calicomast.policy import GatewayPolicy
from calicomast.settings import NANOSECONDS, read_boolean, read_load_report, read_settings, to_seconds

SERVER_STATES = {"U": "up", "L": "leaving", "D": "down"}
RESULTS = {
    "GOOD": "ok",
    "BAD": "error",
    "FULL": "full",
    "LATE": "timeout",
    "NOCONN": "connect_failed",
    "RST": "reset",
    "CXL": "cancelled",
    "NOP": "moot",
}


class WireError(Exception):
    """A line violates the protocol; `gateway` is the number of the gateway that it names, if any."""

    def __init__(self, message: str, gateway: int | None = None) -> None:
        super().__init__(message)
        self.gateway = gateway


def _settings_tree(pairs: dict[str, str]) -> dict[str, Any]:
    """Converts settings with dotted paths as names to nested dictionaries."""
    root: dict[str, Any] = {}
    for path, value in pairs.items():
        node = root
        *parents, leaf = path.split(".")
        for parent in parents:
            node = node.setdefault(parent, {})
            if not isinstance(node, dict):
                raise WireError(f"setting {path} is below a setting that has a plain value")
        node[leaf] = value
    return root


def _load_report(fields: dict[str, str]) -> dict[str, float]:
    """Reads the load report in the fields of an event, if there is one."""
    return read_load_report(
        pair.split(":", 1) for pair in fields.get("server_stats", "").split(",") if ":" in pair
    )


def _server(fields: dict[str, str]) -> api.Server:
    """Reads one server of a server list."""
    return api.Server(
        id=fields["host"],
        zone=fields.get("zone", ""),
        cell=int(fields.get("unit_group", 0)),
        weight=float(fields.get("heft", 1)),
        kind=fields.get("flavor", ""),
        state=SERVER_STATES[fields["availability"]],
        started_at=to_seconds(fields.get("ready_at", "0")),
    )


def _request(fields: dict[str, str]) -> api.Request:
    """Reads a WORK_ITEM event."""
    marks = int(fields.get("marks", 0))
    return api.Request(
        id=fields["txn"],
        remaining_time=to_seconds(fields["patience_left"]),
        tenant=fields["customer"],
        plan=fields["tier"],
        service_class=fields["type"],
        units=float(fields["cost_units"]),
        first_gateway=int(float(fields.get("first", 0))),
        spread=int(float(fields["n_entries"])),
        is_retry=bool(marks & 2),
        is_write=bool(marks & 4),
    )


def _outcome(fields: dict[str, str]) -> api.Outcome:
    """Reads a REPORT_BACK event."""
    return api.Outcome(
        id=fields["txn"],
        attempt=int(fields["attempt"]),
        server=fields["host"],
        result=RESULTS[fields["reason"]],
        elapsed=to_seconds(fields.get("time_taken", "0")),
        final=read_boolean(fields, "terminal"),
        quota_use=int(float(fields.get("fleet_use", 0))),
        actual_units=float(fields.get("actual", 0)),
        report=_load_report(fields),
    )


def _peer_message(fields: dict[str, str]) -> api.PeerMessage:
    """Reads a MEMO event."""
    return api.PeerMessage(sender=int(fields["from"]), data=bytes.fromhex(fields["octets"].strip("-")))


# Functions that convert the fields of an event, by the event's name.
READERS = {
    "WORK_ITEM": _request,
    "REPORT_BACK": _outcome,
    "ADDED": lambda fields: api.CounterResult(
        name=int(fields["entry_name"]),
        result=RESULTS[fields["reason"]],
        total=float(fields.get("now_at", 0)),
        elapsed=to_seconds(fields.get("time_taken", "0")),
    ),
    "PING_RESULT": lambda fields: api.ProbeResult(
        server=fields["host"],
        result=RESULTS[fields["reason"]],
        elapsed=to_seconds(fields.get("time_taken", "0")),
        report=_load_report(fields),
    ),
    "DUE": lambda fields: api.TimerExpired(label=int(fields["label"])),
    "BEGUN": lambda fields: api.AttemptStarted(
        id=fields["txn"],
        attempt=int(fields["attempt"]),
        server=fields["host"],
        elapsed=to_seconds(fields.get("time_taken", "0")),
    ),
    "DROPPED": lambda fields: api.ClientDisconnected(id=fields["txn"]),
    "MEMO": _peer_message,
}


def _nanoseconds(seconds: float) -> int:
    """Converts seconds to whole nanoseconds, rounded up."""
    return math.ceil(seconds * NANOSECONDS)


# Functions that format an action for a gateway, by the action's type.
WRITERS = {
    api.Send: lambda gateway, action: (
        f"ASSIGN i={gateway} txn={action.id} timeout={_nanoseconds(action.timeout)} host={action.server}"
    ),
    api.Refuse: lambda gateway, action: (
        f"DECLINE i={gateway} txn={action.id} hold_off={_nanoseconds(action.retry_after)}"
    ),
    api.Fail: lambda gateway, action: f"DROP_REQUEST i={gateway} txn={action.id}",
    api.Cancel: lambda gateway, action: f"REVOKE i={gateway} txn={action.id} attempt={action.attempt}",
    api.AddToCounter: lambda gateway, action: (
        f"CHARGE_COUNTER i={gateway} entry_name={action.name} by={action.amount:.7g} "
        f"forget_after={_nanoseconds(action.lifetime)}"
    ),
    api.SetTimer: lambda gateway, action: (
        f"AFTER i={gateway} sleep_for={_nanoseconds(action.delay)} label={action.label}"
    ),
    api.Probe: lambda gateway, action: f"TOUCH i={gateway} host={action.server}",
    api.CloseConnections: lambda gateway, action: f"RELEASE i={gateway} host={action.server}",
    api.FetchServerList: lambda gateway, action: f"PULL i={gateway}",
    api.WatchServerList: lambda gateway, action: f"WATCH i={gateway} active={int(action.enabled)}",
    api.Log: lambda gateway, action: f"REMARK i={gateway} words={action.text}",
}


def _read_fields(parts: list[str]) -> dict[str, str]:
    """Splits the parts of a line into names and values; raises WireError if one is not name=value."""
    fields: dict[str, str] = {}
    for part in parts:
        name, equals_sign, value = part.partition("=")
        if not equals_sign:
            raise WireError(f"{part!r} is not name=value")
        fields[name] = value
    return fields


class Adapter:
    """Reads batches from `source`, runs one policy for each gateway and writes actions to `sink`."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source, self.sink, self.line_number, self.line = source, sink, 0, ""
        self.gateways: dict[int, GatewayPolicy] = {}

    def _next_line(self) -> str | None:
        """Reads the next line; returns None at the end of the input."""
        line = self.source.readline()
        if not line:
            return None
        self.line_number += 1
        self.line = line.rstrip("\r\n")
        return self.line

    def _read_servers(self, count: int) -> tuple[api.Server, ...]:
        """Reads the lines of a server list that follow its event; raises WireError."""
        servers = []
        for _ in range(count):
            line = self._next_line() or ""
            word, *parts = line.split(" ")
            if word != "HOST":
                raise WireError(f"expected HOST, found {word!r}")
            servers.append(_server(_read_fields(parts)))
        return tuple(servers)

    def _handle_event(self, now: float, replies: list[str]) -> None:
        """Handles the event in the current line and appends its actions to `replies`; raises WireError."""
        word, *parts = self.line.split(" ")
        gateway: int | None = None
        try:
            fields = _read_fields(parts)
            gateway = int(fields["i"])
            if word == "PROVISION":
                seed = int(fields["nonce64"])
                options = {name: value for name, value in fields.items() if name not in ("i", "nonce64")}
                settings = read_settings(_settings_tree(options))
                event: api.Event | None = None
            elif word == "DETACH":
                self.gateways.pop(gateway, None)
                return
            elif word == "TARGETS":
                event = api.ServerListUpdate(
                    mode=fields["mode"],
                    version=int(fields.get("index", 0)),
                    servers=self._read_servers(int(fields.get("rows_in", 0))),
                )
            elif word in READERS:
                event = READERS[word](fields)
            else:
                raise WireError(f"unknown event {word!r}")
            if word != "PROVISION" and gateway not in self.gateways:
                raise WireError(f"gateway {gateway} has not been set up")
        except WireError as err:
            raise WireError(str(err), gateway) from err
        except KeyError as err:
            raise WireError(f"missing or unknown {err}", gateway) from err
        except ValueError as err:
            raise WireError(str(err), gateway) from err
        try:
            if event is None:
                self.gateways[gateway] = GatewayPolicy(settings, seed, now)
                return
            actions = self.gateways[gateway].handle(now, event)
            replies.extend(WRITERS[type(action)](gateway, action) for action in actions)
        except Exception as err:  # the protocol reports any failure of the policy as an action
            traceback.print_exc(file=sys.stderr)
            message = " ".join(f"{type(err).__name__}: {err}".split())
            replies.append(f"INTERNAL_ERROR i={gateway} words={message}")

    def _handle_batch(self) -> bool:
        """Handles one batch and replies to it; returns False at the end of the input. Raises WireError."""
        line = self._next_line()
        while line == "":
            line = self._next_line()
        if line is None:
            return False
        replies: list[str] = []
        try:
            word, *parts = line.split(" ")
            if word != "ROUND":
                raise WireError(f"expected ROUND, found {word!r}")
            try:
                now = to_seconds(_read_fields(parts)["at_time"])
            except (KeyError, ValueError) as err:
                raise WireError(f"invalid clock time: {err}") from err
            while (line := self._next_line()) != "GO":
                if line is None:
                    raise WireError("input ended inside a batch")
                if line:
                    self._handle_event(now, replies)
        except WireError as err:
            if err.gateway is not None:
                replies.append(f"INTERNAL_ERROR i={err.gateway} words=line {self.line_number}: {err}")
                self._reply(replies)
            raise
        self._reply(replies)
        return True

    def _reply(self, replies: list[str]) -> None:
        """Writes the actions of a batch and the closing ACK line."""
        replies.append("ACK\n")
        self.sink.write("\n".join(replies))
        self.sink.flush()

    def run(self) -> int:
        """Handles all batches; returns the exit code: 0 at the end of the input, 1 after a protocol error."""
        try:
            while self._handle_batch():
                pass
        except WireError as err:
            print(f"calicomast: line {self.line_number}: {err}: {self.line[:200]}", file=sys.stderr)
            return 1
        return 0


def main() -> int:
    """Runs the adapter on standard input and output; returns the exit code."""
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    return Adapter(sys.stdin, sys.stdout).run()


if __name__ == "__main__":
    sys.exit(main())
