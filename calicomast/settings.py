"""Converts the settings of a deployment, with their external names and nanoseconds, to interface.Settings.

The simulator sends the settings as flat text, and a real gateway reads them as nested JSON. Both forms are
read here.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from calicomast import interface as api

EFFECTS = {"pure": "safe", "token": "keyed", "side_effect": "unsafe"}
DISCOVERY_MODES = {"pushed": "push", "on_request": "ask"}
REPORT_FIELDS = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency",
    "rps": "rps",
    "err_rps": "errors",
}
BOOLEANS = {"true": True, "1": True, "false": False, "0": False}
NANOSECONDS = 1e9  # per second


def _items(node: Any) -> list[dict[str, Any]]:
    """Returns a list of objects, given as a JSON list or in the simulator's form: numbered, with a count."""
    return node if isinstance(node, list) else [node[str(index)] for index in range(int(node["count"]))]


def _names(node: Any) -> list[str]:
    """Returns a list of names, given as a JSON list or as text separated by commas."""
    return node if isinstance(node, list) else node.split(",")


def to_seconds(value: Any) -> float:
    """Converts nanoseconds, as a number or text, to seconds."""
    return int(value) / NANOSECONDS


def read_boolean(node: dict[str, Any], name: str, default: bool = False) -> bool:
    """Returns a boolean member; raises KeyError if its value is not a boolean."""
    return BOOLEANS[str(node[name]).lower()] if name in node else default


def _number(node: dict[str, Any], name: str) -> float:
    """Returns a numeric member, or 0 if it is missing."""
    return float(node.get(name, 0))


def read_settings(tree: dict[str, Any]) -> api.Settings:
    """Reads a settings tree in either form.

    Raises KeyError if a member is missing or has an unknown value, and ValueError, TypeError or
    AttributeError if a value has the wrong form.
    """
    classes = {
        service["name"]: api.ServiceClass(
            name=service["name"],
            latency_target=to_seconds(service["slo"]),
            deadline=to_seconds(service["deadline"]),
            effect=EFFECTS[service["effect"]],
            dedup_scope=service.get("dedup_scope", "all"),
            dedup_window=to_seconds(service.get("memory_span", "0")),
            value=float(service["gain"]),
            late_value=_number(service, "late_value"),
            streaming=read_boolean(service, "streaming"),
            latency_target_stretch=_number(service, "aim_stretch"),
        )
        for service in _items(tree["services"])
    }
    plans = {
        plan["name"]: api.Plan(
            name=plan["name"],
            rate=_number(plan, "rate"),
            burst=_number(plan, "most_at_once"),
            concurrency_limit=int(_number(plan, "parallel")),
            value_factor=float(plan.get("value_factor", 1)),
            over_quota_value=_number(plan, "beyond_earns"),
            over_quota_cost=_number(plan, "over_cost"),
            ceiling_rate=_number(plan, "cap_rate"),
            ceiling_burst=_number(plan, "cap_depth"),
            ceiling_slack=_number(plan, "hard_slack"),
        )
        for plan in _items(tree["plans"])
    }
    limits, rules, specifics = tree["limits"], tree["rules"], tree["specifics"]
    report_names = tree.get("reporting", {}).get("names", "")
    return api.Settings(
        index=int(tree["index"]),
        gateways=int(tree["group_size"]),
        zone=tree["locality"],
        classes=classes,
        plans=plans,
        limits=api.Limits(
            cancel=read_boolean(limits, "cancel"),
            hedging=read_boolean(limits, "second_copies"),
            probes=read_boolean(limits, "probes"),
            peers=read_boolean(limits, "peers"),
            retry_after=read_boolean(limits, "retry_after"),
            max_attempts=int(limits["max_attempts"]),
            max_retry_after=to_seconds(limits.get("max_retry_after", "0")),
        ),
        rules=api.Rules(
            answer_slack=to_seconds(rules["answer_slack"]),
            drain_grace=to_seconds(rules["drain_grace"]),
            slow_start_initial_share=float(rules["start_capacity"]),
            slow_start_duration=to_seconds(rules["cold"]),
            overload_multiple=float(rules["fall_multiple"]),
            overload_window=to_seconds(rules["tip_after"]),
            max_fetch_interval=to_seconds(rules.get("must_ask_in", "0")),
        ),
        prices={price_name: float(price) for price_name, price in tree.get("prices", {}).items()},
        counter=read_boolean(specifics, "shared_counter"),
        counter_price=_number(specifics, "counter_price"),
        counter_timeout=to_seconds(specifics.get("counter_timeout", "0")),
        meter_period=to_seconds(specifics.get("meter_period", "0")),
        settles_actual_units=read_boolean(specifics, "settles"),
        max_request_units=float(specifics.get("units_top", 1)),
        discovery=DISCOVERY_MODES[tree["registry_mode"]],
        report_fields=tuple(REPORT_FIELDS[field] for field in _names(report_names) if field in REPORT_FIELDS),
        weight_meaning=tree.get("weights", "none"),
    )


def read_load_report(pairs: Iterable[tuple[str, str] | list[str]]) -> dict[str, float]:
    """Reads the known fields of a load report that have a value; the latency is returned in seconds."""
    return {
        REPORT_FIELDS[name]: float(value) / 1000 if name == "avg_ms" else float(value)
        for name, value in pairs
        if name in REPORT_FIELDS and value
    }
