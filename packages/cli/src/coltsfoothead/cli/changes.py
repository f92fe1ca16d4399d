"""Configuration changes: building the request, sending it and reporting its outcome."""

import dataclasses
import getpass
import shlex
import uuid

import msgspec

from coltsfoothead.cli import documents, errors, operatorsclient, output
from coltsfoothead.kernel import operationpaths, operations

__all__ = ["Identity", "apply", "current", "request_of"]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who makes a change and under which change ID; None lets the command choose."""

    change_id: str | None = None
    author: str | None = None


def current(client: operatorsclient.Client) -> operations.ConfigAnswer:
    """Returns the document in force."""
    return client.read(operationpaths.CONFIG, operations.ConfigAnswer)


def request_of(
    document: documents.Document, identity: Identity, version: int, digest: str, wait: bool
) -> operations.ApplyRequest:
    """Returns a checked request to replace `version` and `digest` by a document.

    Raises
    ------
    UsageError
        If the change ID, author, version or digest is malformed.
    """
    fields = {
        "change_id": str(uuid.uuid4()) if identity.change_id is None else identity.change_id,
        "author": _login() if identity.author is None else identity.author,
        "expected_version": version,
        "expected_digest": digest,
        "document": document.text,
        "wait": wait,
    }
    try:
        return msgspec.convert(fields, operations.ApplyRequest)
    except msgspec.ValidationError as error:
        raise errors.UsageError(str(error)) from error


def apply(
    client: operatorsclient.Client,
    request: operations.ApplyRequest,
    as_json: bool,
    *,
    takes_expected: bool = True,
) -> None:
    """Sends a change and prints its outcome.

    Parameters
    ----------
    takes_expected : bool
        Whether the command has options for the expected version, to be printed for a resend.

    Raises
    ------
    CliError
        If the change is not accepted, its outcome is unknown or it is not yet in force.
    """
    try:
        answer = client.write(operationpaths.APPLY, request, operations.ApplyAnswer, resend=True)
        problem = answer.problem or "no quorum confirmed the change in time"
    except errors.OutcomeUnknownError as error:
        answer = operations.ApplyAnswer(
            outcome=operations.ApplyOutcome.UNKNOWN, change_id=request.change_id
        )
        problem = str(error)
    if as_json:
        output.print_json(answer)
    match answer.outcome:
        case operations.ApplyOutcome.ACCEPTED:
            _report_accepted(answer, request, as_json)
        case operations.ApplyOutcome.CONFLICT:
            raise errors.ConflictError(
                f"version {answer.winner_version} (digest {answer.winner_digest}) by "
                f"{answer.winner_author} with change {answer.winner_change_id} is in force, "
                f"not version {request.expected_version}"
            )
        case operations.ApplyOutcome.INVALID:
            raise errors.InvalidDocumentError(problem)
        case operations.ApplyOutcome.UNKNOWN:
            raise errors.OutcomeUnknownError(
                f"{problem}; resend with {_resend_options(request, takes_expected)}"
            )


def _report_accepted(
    answer: operations.ApplyAnswer, request: operations.ApplyRequest, as_json: bool
) -> None:
    if not as_json:
        state = "in force" if answer.in_force else "accepted, not yet in force"
        facts = f"digest {answer.digest}, change {answer.change_id}"
        output.print_lines([f"version {answer.version} {state} ({facts})"])
    if request.wait and not answer.in_force:
        raise errors.NotInForceError(
            f"version {answer.version} is accepted, but not confirmed in force everywhere"
        )


def _resend_options(request: operations.ApplyRequest, takes_expected: bool) -> str:
    options = ["--change-id", request.change_id, "--author", request.author]
    if takes_expected:
        # Without the expected version a resend would overwrite a change that won in the meantime.
        options += ["--expect-version", str(request.expected_version)]
        options += ["--expect-digest", request.expected_digest]
    return shlex.join(options)


def _login() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError) as error:
        raise errors.UsageError("no login name: give --author") from error
