"""Commands that only read: the views, the configuration and single requests."""

import collections.abc
import sys
from typing import Annotated

import typer

from coltsfoothead.cli import changes, errors, options, output, views
from coltsfoothead.kernel import difference, environment, operationpaths, operations

__all__ = ["add_commands"]

_config = typer.Typer(help="Show the environment document and its history.")
_request = typer.Typer(help="Show single requests.")

_Changes = Annotated[bool, typer.Option("--changes", help="Also show what each change did.")]


def add_commands(app: typer.Typer) -> None:
    """Adds the read commands to an application."""
    for view in views.VIEWS:
        app.command(view.name, help=view.help)(_read_command(view))
    app.add_typer(_config, name="config")
    app.add_typer(_request, name="request")


def _read_command(view: views.View) -> collections.abc.Callable[..., None]:
    def read(context: typer.Context, as_json: options.Json = False) -> None:
        answer = options.client(context).read(view.path, view.answer_type)
        if as_json:
            output.print_json(answer)
        else:
            output.print_tables(view.tables(answer))

    return read


@_config.command("show")
def _show_document(context: typer.Context, as_json: options.Json = False) -> None:
    """Print the document in force as it was written."""
    answer = changes.read_config(options.client(context))
    if as_json:
        output.print_json(answer)
    elif answer.version == 0:
        raise errors.NotFoundError("no document is in force yet")
    else:
        sys.stdout.write(answer.document)


@_config.command("history")
def _show_history(
    context: typer.Context, with_changes: _Changes = False, as_json: options.Json = False
) -> None:
    """List accepted changes, newest first."""
    query = {"documents": "1"} if with_changes else {}
    answer = options.client(context).read(operationpaths.HISTORY, operations.HistoryAnswer, **query)
    version_changes = _changes_by_version(answer) if with_changes else ()
    if as_json:
        output.print_json(
            {"entries": answer.entries, "truncated": answer.truncated}
            | _changes_json(version_changes)
        )
        return
    output.print_tables(views.history(answer))
    for version, differences in version_changes:
        lines = (
            ["cannot be compared"] if differences is None else map(difference.render, differences)
        )
        output.print_lines([f"version {version}", *(f"  {line}" for line in lines)])


def _changes_json(version_changes: tuple) -> dict:
    return {"changes": dict(version_changes)} if version_changes else {}


def _changes_by_version(answer: operations.HistoryAnswer) -> tuple:
    """Returns pairs of a version and its changes, newest first.

    The changes are None where one of the two documents to compare cannot be decoded.
    """
    version_changes = []
    for position, entry in enumerate(answer.entries):
        if position + 1 == len(answer.entries) and answer.truncated:
            break
        older = answer.entries[position + 1] if position + 1 < len(answer.entries) else None
        try:
            before = older and environment.decode(older.document or "")
            differences = difference.difference(before, environment.decode(entry.document or ""))
        except environment.EnvironmentError:
            differences = None
        version_changes.append((entry.version, differences))
    return tuple(version_changes)


@_request.command("show")
def _show_request(
    context: typer.Context,
    request_id: Annotated[str, typer.Argument(metavar="ID", help="Request ID.")],
    as_json: options.Json = False,
) -> None:
    """Show one running or recently finished request."""
    answer = options.client(context).read(
        operationpaths.REQUESTS, operations.RequestsAnswer, id=request_id
    )
    entry = next((each for each in answer.requests if each.id == request_id), None)
    if entry is None:
        raise errors.NotFoundError(f"no request {request_id!r}")
    if as_json:
        output.print_json(entry)
    else:
        output.print_tables(views.request(entry))
