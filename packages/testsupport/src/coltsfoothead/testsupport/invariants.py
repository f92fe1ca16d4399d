"""Checks of the properties P1 to P5 on what callers and fakes recorded.

`engines` are answers of the fake engines to `GET /stats`, and `services` those of the fake services
to `GET /executions`; both may have a key `name`. Each check returns the violations that it finds.
"""

import argparse
import collections
import dataclasses
import json
import pathlib
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from coltsfoothead.testsupport import answers, records

__all__ = [
    "Violation",
    "check_accepted_survive",
    "check_all",
    "check_answers",
    "check_at_most_once",
    "check_attempts",
    "check_leavers",
    "check_not_run",
    "main",
]

_LEAVE_BOUND_SECONDS = 2.0

FakeRecords = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Violation of a property by one request, idempotency key or upstream."""

    property: str
    subject: str
    message: str


def check_accepted_survive(requests: Iterable[records.Record]) -> list[Violation]:
    """P1: a chat request whose answer began with status 200 is completed."""
    return [
        Violation("P1", record.request_id, f"accepted, then {record.parts[-1].ended}")
        for record in requests
        if record.kind == "chat"
        and any(part.status == 200 for part in record.parts)
        and not record.done
    ]


def check_answers(requests: Iterable[records.Record]) -> list[Violation]:
    """P2: answers belong to the request, are in order, and are complete if they ended."""
    violations = []
    for record in requests:
        check = _chat_problem if record.kind == "chat" else _service_problem
        try:
            problem = check(record)
        except (msgspec.DecodeError, LookupError, TypeError, ValueError) as error:
            problem = f"answer cannot be read: {error!r}"
        if problem:
            violations.append(Violation("P2", record.request_id, problem))
    return violations


def check_not_run(
    requests: Iterable[records.Record],
    engines: Sequence[FakeRecords] = (),
    services: Sequence[FakeRecords] = (),
) -> list[Violation]:
    """P3: a request is not executed if all its answers say `not_run`."""
    logs = [entry for source in (*engines, *services) for entry in source["execution_log"]]
    executed = {entry["request_id"] for entry in logs} | {entry.get("key") for entry in logs}
    # If another record has the same key, an execution of the key proves nothing.
    keys = collections.Counter(_key(record) for record in requests)
    violations = []
    for record in requests:
        names = {record.request_id}
        if keys[_key(record)] == 1:
            names.add(_key(record))
        names -= {"", None}
        if record.parts and all(map(_says_not_run, record.parts)) and names & executed:
            violations.append(Violation("P3", record.request_id, "refused as not_run but executed"))
    return violations


def check_at_most_once(services: Iterable[FakeRecords]) -> list[Violation]:
    """P4: no idempotency key is executed twice, counted over all services."""
    counts: collections.Counter[str] = collections.Counter()
    for source in services:
        counts.update(source["executions"])
    return [
        Violation("P4", key, f"executed {count} times")
        for key, count in counts.items()
        if count > 1
    ]


def check_leavers(
    upstreams: Iterable[FakeRecords], bound_seconds: float = _LEAVE_BOUND_SECONDS
) -> list[Violation]:
    """P5: an upstream starts no request later than the bound after announcing its leave."""
    violations = []
    for index, source in enumerate(upstreams):
        since = source["leaving_since"]
        for entry in source["execution_log"] if since is not None else ():
            late_seconds = entry["at"] - since - bound_seconds
            if late_seconds > 0:
                name = source.get("name", f"upstream {index}")
                message = f"{entry['request_id']} started {late_seconds:.3f} s after the bound"
                violations.append(Violation("P5", name, message))
    return violations


def check_attempts(engines: Iterable[FakeRecords]) -> list[Violation]:
    """No attempt of a request is executed twice, counted over all engines."""
    counts = collections.Counter(
        (entry["request_id"], entry["attempt"])
        for source in engines
        for entry in source["execution_log"]
    )
    return [
        Violation("attempts", request_id, f"attempt {attempt} was executed {count} times")
        for (request_id, attempt), count in counts.items()
        if count > 1 and request_id
    ]


def check_all(
    requests: Sequence[records.Record],
    engines: Sequence[FakeRecords] = (),
    services: Sequence[FakeRecords] = (),
    bound_seconds: float = _LEAVE_BOUND_SECONDS,
) -> list[Violation]:
    """Runs every check."""
    return [
        *check_accepted_survive(requests),
        *check_answers(requests),
        *check_not_run(requests, engines, services),
        *check_at_most_once(services),
        *check_leavers([*engines, *services], bound_seconds),
        *check_attempts(engines),
    ]


def _chat_problem(record: records.Record) -> str:
    body = record.body
    limit = body.get("max_completion_tokens") or body.get("max_tokens")
    expected = answers.answer(answers.render(body["messages"]), limit)
    start = len(body.get("resume_tokens") or [])
    if not record.streamed:
        differs = record.done and record.text() != "".join(expected)
        return "answer differs" if differs else ""
    for part in record.parts:
        kind = part.headers.get("content-type", "")
        if part.status == 200 and not kind.startswith("text/event-stream"):
            return "a streamed request was answered in another form"
    tokens = record.tokens()
    for position, (offset, text) in enumerate(tokens, start=start):
        if offset != position:
            return f"token {offset} came in place of {position}"
        if position >= len(expected) or text != expected[position]:
            return f"token {offset} is not of this answer"
    if record.done and start + len(tokens) != len(expected):
        return f"ended after {start + len(tokens)} of {len(expected)} tokens"
    return ""


def _service_problem(record: records.Record) -> str:
    for part in record.parts:
        if part.status != 200 or part.ended != "complete" or record.method == "HEAD":
            continue
        answer = msgspec.json.decode(part.body)
        sent = "" if record.body is None else msgspec.json.encode(record.body).decode()
        path = record.path.partition("?")[0].split("/", 3)[-1]
        if answer["body"] != sent or not answer["path"].endswith(path):
            return "answer belongs to another call"
    return ""


def _says_not_run(part: records.Part) -> bool:
    if part.status is None or part.status < 400:
        return False
    try:
        return msgspec.json.decode(part.body)["error"]["execution"] == "not_run"
    except (msgspec.DecodeError, KeyError, TypeError):
        return False


def _key(record: records.Record) -> str | None:
    if "idempotency-key" in record.sent_headers:
        return record.sent_headers["idempotency-key"]
    return record.body.get("key") if isinstance(record.body, dict) else None


def main() -> None:
    """Checks a JSON file `{records, engines, services}`; exits with 1 on a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", type=pathlib.Path)
    data = json.loads(parser.parse_args().file.read_text("utf-8"))
    requests = msgspec.convert(data["records"], list[records.Record])
    violations = check_all(requests, data.get("engines", ()), data.get("services", ()))
    for violation in violations:
        print(f"{violation.property} {violation.subject}: {violation.message}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
