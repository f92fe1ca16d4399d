"""Configuration changes: building the request, sending it and reporting its outcome."""

import dataclasses
import getpass
import shlex
import uuid

import msgspec

from coltsfoothead.cli import documents, errors, operatorsclient, output
from coltsfoothead.kernel import operationpaths, operations

__all__ = ["Identity", "apply", "build_request", "read_config"]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Change ID and author of a change.

    None stands for the default: a new UUID as the change ID, the login name as the author.
    """

    change_id: str | None = None
    author: str | None = None


def read_config(client: operatorsclient.Client) -> operations.ConfigAnswer:
    """Reads the document in force, its version and its digest from a daemon."""
    return client.read(operationpaths.CONFIG, operations.ConfigAnswer)


def build_request(
    document: documents.Document, identity: Identity, version: int, digest: str, wait: bool
) -> operations.ApplyRequest:
    """Returns a validated request to replace the document in force.

    Parameters
    ----------
    version, digest : int, str
        The document that has to be in force, otherwise the daemon answers with a conflict.
    wait : bool
        Whether the daemon answers only once the change is in force everywhere.

    Raises
    ------
    UsageError
        If the change ID, author, version or digest is malformed.
    """
    fields = {
        "change_id": str(uuid.uuid4()) if identity.change_id is None else identity.change_id,
        "author": _login_name() if identity.author is None else identity.author,
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
    has_expect_options: bool = True,
) -> None:
    """Sends a change and prints its outcome.

    Parameters
    ----------
    has_expect_options : bool
        Whether the command has the options --expect-version and --expect-digest. If so, the
        message about an unknown outcome lists them for the resend.

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
                f"{problem}; resend with {_resend_options(request, has_expect_options)}"
            )


def _report_accepted(
    answer: operations.ApplyAnswer, request: operations.ApplyRequest, as_json: bool
) -> None:
    if not as_json:
        state = "in force" if answer.in_force else "accepted, not yet in force"
        details = f"digest {answer.digest}, change {answer.change_id}"
        output.print_lines([f"version {answer.version} {state} ({details})"])
    if request.wait and not answer.in_force:
        raise errors.NotInForceError(
            f"version {answer.version} is accepted, but not confirmed in force everywhere"
        )


def _resend_options(request: operations.ApplyRequest, has_expect_options: bool) -> str:
    options = ["--change-id", request.change_id, "--author", request.author]
    if has_expect_options:
        # Without the expected version, a resend would overwrite a change accepted in between.
        options += ["--expect-version", str(request.expected_version)]
        options += ["--expect-digest", request.expected_digest]
    return shlex.join(options)


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError) as error:
        raise errors.UsageError("no login name: give --author") from error
