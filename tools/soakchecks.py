"""Checks what callers, upstreams and operators saw during a soak."""

import dataclasses
import re
from collections.abc import Collection, Mapping, Sequence

import fake_cloud

__all__ = ["Answer", "Observations", "Run", "check"]

# Answers that promise that the request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
EVENT = re.compile(rb"id: (\d+)\ndata: token (\d+)\n\n")
# Part of the requests after the last fault that have to be served.
RECOVERED_PART = 0.9
# A call that was under way when its sender was paused may arrive late.
THAW_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One request and what its caller got; `status` is None without any answer."""

    id: str
    kind: str
    target: str
    key: str
    sent_at: float
    status: int | None
    stamped: bool
    body: bytes
    whole: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that an upstream began."""

    id: str
    upstream: str


@dataclasses.dataclass(slots=True)
class Observations:
    """What was seen from outside.

    Attributes
    ----------
    events : int
        Events of a whole stream.
    sent_documents, acknowledged : mapping of int
        Content by version, and when the newest acknowledgement of each came.
    revoked : mapping of str to float
        When the removal of a key was acknowledged.
    read_back : tuple of (int, bytes) or None
        Document at the end.
    ended : collection of str
        Processes that ended without having been told to.
    recovery : sequence of bool
        Whether each request after the last fault was served.
    calls : sequence of Call
        What the platform's API accepted, in the order of arrival.
    thawed : sequence of float
        When a paused process went on.
    lease_seconds : float
        Within which a duty may not come back to a holder from another one.
    """

    answers: list[Answer]
    runs: list[Run]
    events: int
    sent_documents: Mapping[int, bytes]
    acknowledged: Mapping[int, float]
    revoked: Mapping[str, float]
    revoke_seconds: float
    read_back: tuple[int, bytes] | None
    ended: Collection[str]
    recovery: Sequence[bool]
    calls: Sequence[fake_cloud.Call] = ()
    thawed: Sequence[float] = ()
    lease_seconds: float = 3.0


def check(seen: Observations) -> list[str]:
    """Returns the promises that were broken, each as one line."""
    times_run: dict[str, int] = {}
    for run in seen.runs:
        times_run[run.id] = times_run.get(run.id, 0) + 1
    broken = []
    for answer in seen.answers:
        problem = _answer_problem(answer, seen, times_run.get(answer.id, 0))
        if problem:
            broken.append(f"{answer.kind} {answer.id}: {problem}")
    known = {answer.id for answer in seen.answers}
    broken += [
        f"{run.id} ran at {run.upstream}, unasked" for run in seen.runs if run.id not in known
    ]
    broken += _document_problems(seen)
    broken += _duty_problems(seen)
    broken += [f"{name} ended by itself" for name in seen.ended]
    served = sum(seen.recovery)
    if served < RECOVERED_PART * len(seen.recovery):
        broken.append(f"{served} of {len(seen.recovery)} requests served after the last fault")
    return broken


def _answer_problem(answer: Answer, seen: Observations, times: int) -> str:
    if answer.kind == "order" and times > 1:
        return f"ran {times} times"
    if answer.kind == "order" and answer.status in PROMISES and times:
        return f"answered {answer.status} and ran"
    revoked_at = seen.revoked.get(answer.key)
    if revoked_at is not None and times and answer.sent_at > revoked_at + seen.revoke_seconds:
        return f"ran {answer.sent_at - revoked_at:.1f} s after its key was withdrawn"
    if answer.status != 200:
        return ""
    if not answer.stamped:
        return "success without an upstream's stamp"
    if answer.kind == "chat":
        return _stream_problem(answer, seen.events)
    if answer.whole and answer.body != f"POST {answer.target} {{}}".encode():
        return f"wrong body {answer.body[:60]!r}"
    return ""


def _stream_problem(answer: Answer, events: int) -> str:
    numbers = [int(number) for number, _ in EVENT.findall(answer.body)]
    if numbers != list(range(1, len(numbers) + 1)):
        return f"events {numbers}"
    if answer.whole and (len(numbers) != events or EVENT.sub(b"", answer.body)):
        return f"ended as whole after {len(numbers)} of {events} events"
    return ""


def _document_problems(seen: Observations) -> list[str]:
    if seen.read_back is None:
        return ["the document could not be read at the end"]
    version, content = seen.read_back
    newest = max(seen.acknowledged, default=0)
    if version < newest:
        return [f"version {newest} was acknowledged, {version} is in force"]
    if seen.sent_documents.get(version) != content:
        return [f"version {version} holds what nobody sent"]
    return []


def _duty_problems(seen: Observations) -> list[str]:
    broken = []
    reports: dict[int, str] = {}
    subjects: dict[str, list[fake_cloud.Call]] = {}
    for call in seen.calls:
        if (
            call.window is not None
            and reports.setdefault(call.window, call.content) != call.content
        ):
            broken.append(f"window {call.window} was reported with different counts")
        late = any(0 <= call.at - at <= THAW_SECONDS for at in seen.thawed)
        before = subjects.setdefault(call.subject, [])
        if not late:
            broken += _holder_problems(call, before, seen.lease_seconds)
        before.append(call)
    return broken


def _holder_problems(
    call: fake_cloud.Call, before: Sequence[fake_cloud.Call], lease_seconds: float
) -> list[str]:
    """Returns what is wrong with a call after the earlier ones about the same subject."""
    if not before:
        return []
    broken = []
    highest = max(before, key=lambda each: each.fence)
    if call.fence < highest.fence:
        broken.append(f"{call.subject}: fence {call.fence} after {highest.fence}")
    if call.fence == highest.fence and call.holder != highest.holder:
        broken.append(f"{call.subject}: {call.holder} and {highest.holder} share {call.fence}")
    others = [each for each in before if each.holder != call.holder]
    if others and before[-1].holder != call.holder:
        own = [each for each in before if each.holder == call.holder]
        if own and call.at - own[-1].at < lease_seconds:
            broken.append(f"{call.subject}: back at {call.holder} within {lease_seconds} s")
    return broken
