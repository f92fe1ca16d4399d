"""Checks the answers, executions and documents observed during a soak for violated guarantees."""

import dataclasses
import re
from collections.abc import Collection, Mapping, Sequence

import fake_cloud

__all__ = ["Answer", "Execution", "Observations", "check"]

# Statuses that guarantee that the request has not been executed and never will be.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: token (\d+)\n\n")
# Least share of the requests after the last fault that has to be served.
MIN_RECOVERED_SHARE = 0.9
# A call that was in flight when its sender was paused may arrive this long after the resume.
RESUME_GRACE_SECONDS = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One request and its answer as the caller received it.

    Attributes
    ----------
    id : str
        Request ID.
    key : str
        API key.
    sent_at : float
        Monotonic time in seconds.
    status : int or None
        None if no answer arrived.
    has_stamp : bool
        Whether the answer carries the stamp of the upstream that produced it.
    is_complete : bool
        Whether the answer arrived to its end.
    """

    id: str
    kind: str
    target: str
    key: str
    sent_at: float
    status: int | None
    has_stamp: bool
    body: bytes
    is_complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """The start of a request's execution at an upstream."""

    id: str
    upstream: str


@dataclasses.dataclass(slots=True)
class Observations:
    """Everything that a soak observed from outside the processes; times are monotonic seconds.

    Attributes
    ----------
    answers : list of Answer
    executions : list of Execution
    events_per_stream : int
        Events of a complete stream.
    sent_documents : mapping of int to bytes
        Content of each document that was sent, by version.
    acknowledged_at : mapping of int to float
        Time of the newest acknowledgement of each version.
    revoked_at : mapping of str to float
        Time at which the removal of each withdrawn key was acknowledged.
    revocation_bound_seconds : float
        Time after the acknowledgement within which a withdrawn key may still be accepted.
    final_document : tuple of (int, bytes) or None
        Version and content of the document read at the end; None if it could not be read.
    unexpected_exits : collection of str
        Processes that ended without having been stopped or killed by the soak.
    recovery_outcomes : sequence of bool
        Whether each request after the last fault was served.
    platform_calls : sequence of Call
        Calls that the platform's API accepted, in the order of arrival.
    resumed_at : sequence of float
        Times at which paused processes were resumed.
    lease_seconds : float
        Least time before a duty may return to a holder after another one has held it.
    """

    answers: list[Answer]
    executions: list[Execution]
    events_per_stream: int
    sent_documents: Mapping[int, bytes]
    acknowledged_at: Mapping[int, float]
    revoked_at: Mapping[str, float]
    revocation_bound_seconds: float
    final_document: tuple[int, bytes] | None
    unexpected_exits: Collection[str]
    recovery_outcomes: Sequence[bool]
    platform_calls: Sequence[fake_cloud.Call] = ()
    resumed_at: Sequence[float] = ()
    lease_seconds: float = 3.0


def check(observations: Observations) -> list[str]:
    """Returns the violated guarantees, each as one line."""
    execution_counts: dict[str, int] = {}
    for execution in observations.executions:
        execution_counts[execution.id] = execution_counts.get(execution.id, 0) + 1
    violations = []
    for answer in observations.answers:
        problem = _answer_problem(answer, observations, execution_counts.get(answer.id, 0))
        if problem:
            violations.append(f"{answer.kind} {answer.id}: {problem}")
    known_ids = {answer.id for answer in observations.answers}
    violations += [
        f"{execution.id} ran at {execution.upstream} without a request"
        for execution in observations.executions
        if execution.id not in known_ids
    ]
    violations += _document_problems(observations)
    violations += _duty_problems(observations)
    violations += [f"{name} exited unexpectedly" for name in observations.unexpected_exits]
    served_count = sum(observations.recovery_outcomes)
    if served_count < MIN_RECOVERED_SHARE * len(observations.recovery_outcomes):
        violations.append(
            f"{served_count} of {len(observations.recovery_outcomes)} requests "
            f"served after the last fault"
        )
    return violations


def _answer_problem(answer: Answer, observations: Observations, execution_count: int) -> str:
    if answer.kind == "order" and execution_count > 1:
        return f"ran {execution_count} times"
    if answer.kind == "order" and answer.status in NOT_EXECUTED_STATUSES and execution_count:
        return f"ran despite the answer {answer.status}"
    revoked_at = observations.revoked_at.get(answer.key)
    if (
        revoked_at is not None
        and execution_count
        and answer.sent_at > revoked_at + observations.revocation_bound_seconds
    ):
        return f"ran {answer.sent_at - revoked_at:.1f} s after its key was withdrawn"
    if answer.status != 200:
        return ""
    if not answer.has_stamp:
        return "status 200 without an upstream's stamp"
    if answer.kind == "chat":
        return _stream_problem(answer, observations.events_per_stream)
    if answer.is_complete and answer.body != f"POST {answer.target} {{}}".encode():
        return f"wrong body {answer.body[:60]!r}"
    return ""


def _stream_problem(answer: Answer, events_per_stream: int) -> str:
    numbers = [int(number) for number, _ in EVENT_PATTERN.findall(answer.body)]
    if numbers != list(range(1, len(numbers) + 1)):
        return f"events {numbers}"
    if answer.is_complete and (
        len(numbers) != events_per_stream or EVENT_PATTERN.sub(b"", answer.body)
    ):
        return f"reported as complete after {len(numbers)} of {events_per_stream} events"
    return ""


def _document_problems(observations: Observations) -> list[str]:
    if observations.final_document is None:
        return ["the document could not be read at the end"]
    version, content = observations.final_document
    newest_acknowledged = max(observations.acknowledged_at, default=0)
    if version < newest_acknowledged:
        return [f"version {newest_acknowledged} was acknowledged, {version} is in force"]
    if observations.sent_documents.get(version) != content:
        return [f"version {version} has content that was never sent"]
    return []


def _duty_problems(observations: Observations) -> list[str]:
    violations = []
    usage_by_window: dict[int, str] = {}
    calls_by_subject: dict[str, list[fake_cloud.Call]] = {}
    for call in observations.platform_calls:
        if (
            call.window is not None
            and usage_by_window.setdefault(call.window, call.content) != call.content
        ):
            violations.append(f"window {call.window} was reported with different counts")
        may_be_delayed = any(
            0 <= call.at - at <= RESUME_GRACE_SECONDS for at in observations.resumed_at
        )
        earlier_calls = calls_by_subject.setdefault(call.subject, [])
        if not may_be_delayed:
            violations += _holder_problems(call, earlier_calls, observations.lease_seconds)
        earlier_calls.append(call)
    return violations


def _holder_problems(
    call: fake_cloud.Call, earlier_calls: Sequence[fake_cloud.Call], lease_seconds: float
) -> list[str]:
    """Returns the violations of a call against the earlier calls about the same subject."""
    if not earlier_calls:
        return []
    violations = []
    highest_fence_call = max(earlier_calls, key=lambda each: each.fence)
    if call.fence < highest_fence_call.fence:
        violations.append(f"{call.subject}: fence {call.fence} after {highest_fence_call.fence}")
    if call.fence == highest_fence_call.fence and call.holder != highest_fence_call.holder:
        violations.append(
            f"{call.subject}: {call.holder} and {highest_fence_call.holder} share {call.fence}"
        )
    calls_by_others = [each for each in earlier_calls if each.holder != call.holder]
    if calls_by_others and earlier_calls[-1].holder != call.holder:
        own_calls = [each for each in earlier_calls if each.holder == call.holder]
        if own_calls and call.at - own_calls[-1].at < lease_seconds:
            violations.append(f"{call.subject}: back at {call.holder} within {lease_seconds} s")
    return violations
