"""Reads the responses of servers into attempts."""

from __future__ import annotations

import re

import hiredis

from calicomast.net.attempt import PROBE_MARKER, Attempt, Report
from calicomast.net.framing import MAX_BODY_BYTES, FramingError
from calicomast.settings import read_load_report

MAX_LOAD = 10_000.0  # largest figure in a load report; a larger one would distort the averages for long
MAX_QUOTA_USAGE = 1_000_000  # percent of a tenant's rate; a larger number is taken to be an error

# The protocol's format; float() alone accepts more.
REPORT_PATTERN = re.compile(r"(\w+=([0-9]{1,9}(\.[0-9]{1,9})?)?(,|$))+")


def parse_report(text: object) -> Report:
    """Returns the figures of a load report; none if the report is missing or malformed."""
    if isinstance(text, bytes):
        text = text.decode("utf-8", "replace")
    if not isinstance(text, str) or not REPORT_PATTERN.fullmatch(text):
        return {}
    report = read_load_report(pair.split("=", 1) for pair in text.rstrip(",").split(","))
    return report if all(value <= MAX_LOAD for value in report.values()) else {}


def read_response(attempt: Attempt, response: object) -> str:
    """Copies a response into its attempt and returns the attempt's result.

    Raises FramingError for a malformed response. The request may have been executed, and no value can be
    returned for it.
    """
    if isinstance(response, list) and attempt.request_and_number is not PROBE_MARKER:
        if len(response) != 3 or not isinstance(response[0], bytes) or len(response[0]) > MAX_BODY_BYTES:
            raise FramingError("malformed value in a server's response")
        attempt.value = response[0]
        if isinstance(response[1], int) and 0 <= response[1] <= MAX_QUOTA_USAGE:
            attempt.quota_usage = response[1]
        attempt.report = parse_report(response[2])
        return "ok"
    if isinstance(response, hiredis.ReplyError):
        words = str(response).split(" ")
        attempt.report = parse_report(words[-1])
        return "full" if words[0] == "BUSY" else "error"
    if isinstance(response, bytes) and attempt.request_and_number is PROBE_MARKER:
        attempt.report = parse_report(response)
        return "ok"
    raise FramingError("unexpected type of a server's response")
