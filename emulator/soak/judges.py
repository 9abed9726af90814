"""The invariants of a soak: one function each, judged from what was seen from outside alone."""

from __future__ import annotations

import math
import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from emulator.real.processes import READY_TIMEOUT
from emulator.soak.clients import BAD_WITHIN, LATE_ANSWER, served_rightly
from emulator.soak.record import Asked, Effect, Ending, Life, Record
from emulator.soak.shape import (
    COLD_SHARE,
    COLD_TIME,
    FALL_MULTIPLE,
    FALL_TIME,
    GRACE,
    MEMORY,
    PLAN,
    SLOTS,
    SOCKETS,
    TOLD_AT_LATEST,
    WORK,
)

READING = 0.05  # seconds that the ways to and from this process may add to a reading
LEFT_WITHIN = 0.1  # seconds after a client's close in which an attempt may still begin
TOLD_SLACK = 0.15  # seconds by which the deadline told may be over what is left
READ_WITHIN = 0.3  # seconds after which a command that was sent has been read
QUOTA_MULTIPLE = 1.5  # of a run's quota: each gateway passes a part by itself while the counter is away
GROWTH_KB, SETTLED = 12_000, 5.0  # memory that may come on after so many seconds
FEW_SENT = 30  # below it a cold server's budget has the wider margin
SPARE_DESCRIPTORS = 4
DISCOVERY_TROUBLES = ("discovery-", "watch-", "reload", "restart", "kill")


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that did not hold: when, and for which ids."""

    invariant: str
    at: float
    detail: str


def about(asked: Asked) -> str:
    """The ids of a request and of the process that took it."""
    return f"request {asked.id} gateway {asked.gateway}.{asked.life} connection {asked.connection}"


def tolerance(record: Record, begin: float, end: float) -> float:
    """By how much readings of clocks in a span may be off."""
    return READING + record.late(begin, end)


def disturbed(life: Life, asked: Asked) -> bool:
    """Whether a gateway's process was killed, or had ended, before a request was due."""
    until = asked.at + asked.deadline + LATE_ANSWER
    killed = life.killed_at is not None and life.killed_at < until
    return killed and life.told_at is None


def one_answer(record: Record) -> Iterator[Violation]:
    """Each request that was taken gets one final answer, half a second after its time at the latest."""
    attempts = record.attempts()
    for asked in record.asked:
        name = "one_answer"
        told = about(asked)
        if asked.answers > 1:
            yield Violation(name, asked.ended_at, f"{told}: {asked.answers} answers")
        if asked.closed_at is not None or disturbed(record.life(asked.gateway, asked.life), asked):
            continue
        late = asked.ended_at - asked.at - asked.deadline - LATE_ANSWER
        if asked.ending is Ending.NONE:
            yield Violation(name, asked.at, f"{told}: no answer")
        elif late > tolerance(record, asked.at, asked.ended_at):
            yield Violation(name, asked.ended_at, f"{told}: {late:.3f} s late")
        elif asked.ending is Ending.CLOSED:
            begun = [each for each in attempts.get(asked.id, []) if each.at < asked.ended_at]
            waited = asked.ended_at - asked.at - tolerance(record, asked.at, asked.ended_at)
            if begun or waited > READ_WITHIN:
                yield Violation(name, asked.ended_at, f"{told}: closed without an answer")


def right_answer(record: Record) -> Iterator[Violation]:
    """What is served is what a server made for that request."""
    for asked in record.asked:
        if asked.ending is Ending.SERVED and not served_rightly(asked):
            yield Violation("right_answer", asked.ended_at, f"{about(asked)}: {asked.answer[:40]!r}")


def effects(record: Record) -> dict[str, Asked]:
    """The requests by id; of one that was sent again the first."""
    by_id: dict[str, Asked] = {}
    for asked in record.asked:
        by_id.setdefault(asked.id, asked)
    return by_id


def runs_once(record: Record) -> Iterator[Violation]:
    """What may not be repeated runs once."""
    by_id = effects(record)
    for request, attempts in record.attempts().items():
        asked = by_id.get(request)
        if asked is not None and asked.effect is Effect.UNSAFE and len(attempts) > 1:
            if disturbed(record.life(asked.gateway, asked.life), asked):
                continue  # what a killed gateway held is its client's to repeat
            servers = ",".join(each.server for each in attempts)
            yield Violation("runs_once", attempts[1].at, f"{about(asked)} ran at {servers}")


def repeats_in_window(record: Record) -> Iterator[Violation]:
    """A keyed request is repeated only while servers still drop a repeat."""
    by_id = effects(record)
    for request, attempts in record.attempts().items():
        asked = by_id.get(request)
        if asked is None or asked.effect is not Effect.KEYED:
            continue
        first = attempts[0].at
        for each in attempts[1:]:
            if each.at - first > MEMORY + tolerance(record, first, each.at):
                yield Violation(
                    "repeats_in_window", each.at, f"{about(asked)}: {each.at - first:.3f} s after its first"
                )


def nothing_after_leaving(record: Record) -> Iterator[Violation]:
    """No attempt begins over 0.1 s after its client closed."""
    attempts = record.attempts()
    for asked in record.asked:
        if asked.closed_at is None:
            continue
        for each in attempts.get(asked.id, []):
            after = each.at - asked.closed_at
            if after > LEFT_WITHIN + tolerance(record, asked.closed_at, each.at):
                yield Violation(
                    "nothing_after_leaving", each.at, f"{about(asked)}: {after:.3f} s after its client left"
                )


def nothing_after_answer(record: Record) -> Iterator[Violation]:
    """No attempt begins after the final answer."""
    by_id = effects(record)
    sent = Counter(asked.id for asked in record.asked)
    for request, attempts in record.attempts().items():
        asked = by_id.get(request)
        if asked is None or sent[request] > 1 or asked.answers == 0:
            continue
        for each in attempts:
            if each.at - asked.ended_at > tolerance(record, asked.ended_at, each.at):
                yield Violation(
                    "nothing_after_answer",
                    each.at,
                    f"{about(asked)}: {each.at - asked.ended_at:.3f} s after its answer",
                )


def deadline_told(record: Record) -> Iterator[Violation]:
    """A server is told at most what its client has left, with 0.15 s of slack."""
    by_id, latest = effects(record), {asked.id: asked.at for asked in record.asked}
    for each in record.began_at_servers:
        asked = by_id.get(each.id)
        if asked is None:
            continue
        left = latest[each.id] + asked.deadline - each.at
        if each.told > max(left, 0.0) + TOLD_SLACK + tolerance(record, asked.at, each.at):
            yield Violation(
                "deadline_told", each.at, f"{about(asked)}: told {each.told:.3f} s, {left:.3f} s left"
            )


def drained_servers_rest(record: Record) -> Iterator[Violation]:
    """Nothing is sent to a server after the grace once its gateway was told that it drains or is gone."""
    told_at: dict[tuple[int, int, str], float] = {}
    for told in sorted(record.told, key=lambda told: told.at):
        key = (told.gateway, told.life, told.server)
        if told.state == "up":
            told_at.pop(key, None)
        else:
            told_at.setdefault(key, told.at)
    by_id = effects(record)
    for each in record.began_at_servers:
        asked = by_id.get(each.id)
        if asked is None:
            continue
        at = told_at.get((asked.gateway, asked.life, each.server), math.inf)
        if each.at > at + GRACE + tolerance(record, at, each.at):
            told = f"{about(asked)} server {each.server}"
            yield Violation(
                "drained_servers_rest", each.at, f"{told}: {each.at - at:.3f} s after it was told"
            )


def told_at_latest(record: Record, at: float) -> float:
    """When a change that discovery had then counts as told: 6 s after it could be reached for so long."""
    names = DISCOVERY_TROUBLES
    for trouble in sorted(record.troubles, key=lambda trouble: trouble.began):
        if trouble.name.startswith(names) and trouble.began <= at + TOLD_AT_LATEST and trouble.ended > at:
            at = trouble.ended
    return at + TOLD_AT_LATEST


def changes_are_heard(record: Record) -> Iterator[Violation]:
    """Nothing is sent to a server after the grace once its drain or removal counts as told to everyone."""
    gone: dict[str, float] = {}
    for changed in record.changed:
        if changed.state == "up":
            gone.pop(changed.server, None)
        else:
            gone.setdefault(changed.server, told_at_latest(record, changed.at))
    by_id = effects(record)
    for each in record.began_at_servers:
        asked, at = by_id.get(each.id), gone.get(each.server, math.inf)
        if asked is not None and each.at > at + GRACE + tolerance(record, at, each.at):
            told = f"{about(asked)} server {each.server}"
            yield Violation(
                "changes_are_heard", each.at, f"{told}: {each.at - at:.3f} s after it counts as told"
            )


def cold_servers_stand(record: Record) -> Iterator[Violation]:
    """All gateways together send a cold server no more than it bears."""
    for started in record.started:
        times = sorted(
            each.at
            for each in record.began_at_servers
            if each.server == started.server and started.at <= each.at < started.at + COLD_TIME
        )
        for number, at in enumerate(times):
            count = sum(at <= other < at + FALL_TIME for other in times[number:])
            warmth = COLD_SHARE + (1 - COLD_SHARE) * (at - started.at) / COLD_TIME
            allowed = FALL_MULTIPLE * warmth * SLOTS / WORK * FALL_TIME
            margin = 3 if allowed < FEW_SENT else 2
            if count > allowed + margin * math.sqrt(allowed) + margin:
                yield Violation(
                    "cold_servers_stand",
                    at,
                    f"server {started.server} {at - started.at:.2f} s old: {count} for {allowed:.1f}",
                )
                break


def quotas_hold(record: Record) -> Iterator[Violation]:
    """All gateways together send on little more for a customer than its quota of the run."""
    attempts, passed = record.attempts(), defaultdict(set)
    for asked in record.asked:
        if asked.id in attempts:
            passed[asked.customer].add(asked.id)
    whole = PLAN.burst + PLAN.rate * (record.ended - record.began)
    for customer, ids in passed.items():
        if len(ids) > QUOTA_MULTIPLE * whole:
            yield Violation("quotas_hold", record.ended, f"customer {customer}: {len(ids)} for {whole:.0f}")


def bad_clients_are_answered(record: Record) -> Iterator[Violation]:
    """A bad client gets an error or a close within 3 s."""
    for bad in record.bad_clients:
        life = record.life(bad.gateway, bad.life)
        took = (bad.ended_at or math.inf) - bad.at
        if took <= BAD_WITHIN + tolerance(record, bad.at, bad.at + BAD_WITHIN + 1):
            continue
        if life.killed_at is None or life.killed_at > bad.at + BAD_WITHIN:
            told = f"gateway {bad.gateway}.{bad.life} {bad.manner}"
            yield Violation("bad_clients_are_answered", bad.at, f"{told}: {took:.3f} s")


def processes_live(record: Record) -> Iterator[Violation]:
    """A gateway is ready in time, ends only when told to, in time, and without an error."""
    for life in record.lives:
        told = f"gateway {life.gateway}.{life.number}"
        ends = [at for at in (life.told_at, life.killed_at, life.ended_at) if at is not None]
        until = min(ends, default=record.ended)
        alone = life.told_at is None and life.killed_at is None
        if life.ready_at is None and (alone or until - life.started_at >= READY_TIMEOUT):
            yield Violation("processes_live", life.started_at, f"{told}: never ready, code {life.code}")
        elif life.ended_at is not None and life.told_at is None and life.killed_at is None:
            yield Violation("processes_live", life.ended_at, f"{told}: ended by itself with {life.code}")
        elif life.told_at is not None and life.killed_at is not None:
            yield Violation("processes_live", life.killed_at, f"{told}: still there as SIGKILL is due")
        elif life.told_at is not None and life.code not in (0, None):
            yield Violation("processes_live", life.told_at, f"{told}: ended with {life.code}")


def resources_stay(record: Record) -> Iterator[Violation]:
    """Memory does not keep growing, and descriptors stay within the limit."""
    for life in record.lives:
        told = f"gateway {life.gateway}.{life.number}"
        settled = [size for at, size in life.resident_kb if at > life.started_at + SETTLED]
        if settled and settled[-1] - settled[0] > GROWTH_KB:
            yield Violation("resources_stay", record.ended, f"{told}: {settled[0]} to {settled[-1]} KB")
        if life.descriptors and max(life.descriptors) > SOCKETS - SPARE_DESCRIPTORS:
            yield Violation("resources_stay", record.ended, f"{told}: {max(life.descriptors)} descriptors")


def own_checks_hold(record: Record) -> Iterator[Violation]:
    """The gateways' own run-time checks found nothing, and no exception was logged."""
    for life in record.lives:
        told = f"gateway {life.gateway}.{life.number}"
        found = re.search(r'"violations": (\{"[^}]*\})', life.log)
        if found:
            yield Violation("own_checks_hold", life.ended_at or record.ended, f"{told}: {found[1]}")
        if "Traceback" in life.log:
            last = life.log.split("Traceback")[1].strip().split("\n")
            error = next((line for line in last if re.match(r"\w+(Error|Exception)", line)), last[0])
            yield Violation("own_checks_hold", life.ended_at or record.ended, f"{told}: {error[:120]}")


def commands_are_sound(record: Record) -> Iterator[Violation]:
    """Servers get no command that no client sent in this form."""
    for at, detail in record.unreadable:
        yield Violation("commands_are_sound", at, detail)


Judge = Callable[[Record], Iterator[Violation]]

JUDGES: tuple[Judge, ...] = (
    one_answer,
    right_answer,
    runs_once,
    repeats_in_window,
    nothing_after_leaving,
    nothing_after_answer,
    deadline_told,
    drained_servers_rest,
    changes_are_heard,
    cold_servers_stand,
    quotas_hold,
    bad_clients_are_answered,
    processes_live,
    resources_stay,
    own_checks_hold,
    commands_are_sound,
)


def judge(record: Record) -> list[Violation]:
    """All violations, in the order of time."""
    found = [violation for each in JUDGES for violation in each(record)]
    return sorted(found, key=lambda violation: violation.at)
