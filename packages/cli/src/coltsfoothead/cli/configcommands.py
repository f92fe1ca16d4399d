"""Commands that check, compare and change the environment document."""

from typing import Annotated

import typer

from coltsfoothead.cli import changes, documents, errors, exitcodes, options, output
from coltsfoothead.kernel import difference, environment, operations

__all__ = ["add_commands"]

_ExpectVersion = Annotated[
    int | None,
    typer.Option(
        "--expect-version",
        min=0,
        help="Refuse unless this version is in force. Default: read it first.",
    ),
]
_ExpectDigest = Annotated[
    str | None,
    typer.Option(
        "--expect-digest", help="Refuse unless this digest is in force; goes with --expect-version."
    ),
]
_ExitCode = Annotated[
    bool, typer.Option("--exit-code", help="Exit with 9 if the content or the text differs.")
]
_From = Annotated[
    str, typer.Option("--from", help="Trial environment: IP:port, a list of them or a target.")
]
_To = Annotated[
    str, typer.Option("--to", help="Production environment: IP:port, a list of them or a target.")
]
_EnvironmentName = Annotated[
    str | None,
    typer.Option("--name", help="New environment name. Default: the one in force at --to."),
]
_Yes = Annotated[bool, typer.Option("--yes", help="Do not ask.")]


def add_commands(app: typer.Typer) -> None:
    """Adds the configuration commands to an application."""
    for command in (check, diff, apply, promote):
        app.command(command.__name__)(command)


def check(file: options.File, as_json: options.Json = False) -> None:
    """Check an environment document; needs no daemon."""
    try:
        document = documents.load(file)
    except environment.EnvironmentError as error:
        if as_json:
            problem = {"file": error.source, "key": error.key, "problem": error.problem}
            output.print_json({"valid": False, **problem})
        raise
    summary = {
        "file": str(file),
        "environment": document.content.environment,
        "digest": environment.digest(document.text),
        "models": len(document.content.models),
        "services": len(document.content.services),
        "organisations": len(document.content.organisations),
    }
    if as_json:
        output.print_json({"valid": True, **summary})
    else:
        output.print_lines([f"{file}: valid (digest {summary['digest']})"])


def diff(
    context: typer.Context,
    file: options.File,
    exit_code: _ExitCode = False,
    as_json: options.Json = False,
) -> int:
    """Show what applying a document would change; changes nothing."""
    document = documents.load(file)
    in_force = changes.read_config(options.client(context))
    differences, text_differs = _compare(in_force, document)
    if as_json:
        summary = {"file": str(file), "version": in_force.version, "digest": in_force.digest}
        output.print_json({**summary, "text_differs": text_differs, "changes": differences})
    else:
        _print_differences(differences, text_differs)
    is_different = bool(differences) or text_differs
    return exitcodes.ExitCode.DIFFERENT if exit_code and is_different else exitcodes.ExitCode.OK


def apply(
    context: typer.Context,
    file: options.File,
    change_id: options.ChangeId = None,
    expect_version: _ExpectVersion = None,
    expect_digest: _ExpectDigest = None,
    author: options.Author = None,
    no_wait: options.NoWait = False,
    as_json: options.Json = False,
) -> None:
    """Put a document in force unless another change won."""
    if (expect_version is None) != (expect_digest is None):
        raise errors.UsageError("--expect-version and --expect-digest go together")
    document = documents.load(file)
    client = options.client(context)
    if expect_version is None or expect_digest is None:
        in_force = changes.read_config(client)
        expect_version, expect_digest = in_force.version, in_force.digest
    identity = changes.Identity(change_id, author)
    request = changes.build_request(document, identity, expect_version, expect_digest, not no_wait)
    changes.apply(client, request, as_json)


def promote(
    context: typer.Context,
    trial: _From,
    production: _To,
    name: _EnvironmentName = None,
    yes: _Yes = False,
    change_id: options.ChangeId = None,
    author: options.Author = None,
    no_wait: options.NoWait = False,
    as_json: options.Json = False,
) -> None:
    """Apply the trial document to production."""
    if trial == production:
        raise errors.UsageError("--from and --to are the same")
    client = options.client_at(context, production)
    source = changes.read_config(options.client_at(context, trial))
    in_force = changes.read_config(client)
    if source.version == 0:
        raise errors.NotFoundError("no document is in force in the trial environment")
    document = documents.rename(
        documents.parse(source.document, f"document in force at {trial}"),
        name or _environment_name_in_force(in_force),
    )
    differences, text_differs = _compare(in_force, document)
    # With --json, standard output carries only the outcome as JSON.
    _print_differences(differences, text_differs, to_stderr=as_json)
    if not differences and not text_differs:
        if as_json:
            output.print_json(_already_in_force(in_force))
        return
    identity = changes.Identity(change_id, author)
    request = changes.build_request(
        document, identity, in_force.version, in_force.digest, not no_wait
    )
    if not yes:
        _confirm(f"Replace version {in_force.version} at {production}?")
    changes.apply(client, request, as_json, has_expect_options=False)


def _already_in_force(in_force: operations.ConfigAnswer) -> operations.ApplyAnswer:
    return operations.ApplyAnswer(
        outcome=operations.ApplyOutcome.ACCEPTED,
        change_id=in_force.change_id,
        in_force=True,
        version=in_force.version,
        digest=in_force.digest,
    )


def _confirm(question: str) -> None:
    try:
        confirmed = typer.confirm(question, err=True)
    except typer.Abort:
        confirmed = False
    if not confirmed:
        raise errors.DeclinedError("not confirmed; nothing was changed")


def _environment_name_in_force(in_force: operations.ConfigAnswer) -> str:
    if in_force.version == 0:
        raise errors.UsageError("no document is in force at --to: give --name")
    return documents.parse(in_force.document, "document in force at --to").content.environment


def _compare(
    in_force: operations.ConfigAnswer, document: documents.Document
) -> tuple[tuple[difference.Change, ...], bool]:
    before = None
    if in_force.version:
        before = documents.parse(in_force.document, "document in force").content
    differences = difference.difference(before, document.content)
    return differences, in_force.document != document.text


def _print_differences(
    differences: tuple[difference.Change, ...], text_differs: bool, to_stderr: bool = False
) -> None:
    lines = [difference.render(change) for change in differences]
    if not differences:
        lines = ["no difference"]
        if text_differs:
            lines = ["no difference in content; comments, order or spelt-out defaults differ"]
    output.print_lines(lines, to_stderr=to_stderr)
