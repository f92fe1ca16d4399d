"""Commands that drain daemons and change the voters."""

from typing import Annotated

import msgspec
import typer

from coltsfoothead.cli import errors, options, output, views
from coltsfoothead.kernel import operationpaths, operations

__all__ = ["add_commands"]

_voters_app = typer.Typer(help="Change the voters of the replicated logs.")

_VoterId = Annotated[str, typer.Argument(metavar="ID", help="ID of the voter's daemon.")]


def add_commands(app: typer.Typer) -> None:
    """Adds the fleet commands to an application."""
    app.command("drain")(_drain)
    app.add_typer(_voters_app, name="voters")


def _drain(
    context: typer.Context,
    daemon: Annotated[str, typer.Argument(metavar="DAEMON", help="ID of the daemon.")],
    deadline_seconds: Annotated[
        float | None,
        typer.Option(
            "--deadline-seconds", help="Time for running requests. Default: timeouts.drain_seconds."
        ),
    ] = None,
    as_json: options.Json = False,
) -> None:
    """Stop one daemon gracefully; running requests finish or move."""
    fields = {"daemon": daemon, "deadline_seconds": deadline_seconds}
    request = _build_request(fields, operations.DrainRequest)
    answer = options.client(context).write(
        operationpaths.DRAIN, request, operations.DrainAnswer, resend=False
    )
    _print_answer(answer, views.drain, as_json)


@_voters_app.command("add")
def _add(
    context: typer.Context,
    voter: _VoterId,
    address: Annotated[
        str,
        typer.Option("--address", help="Peer address of the new voter (listen.peers), IP:port."),
    ],
    zone: Annotated[str, typer.Option("--zone", help="Zone of the new voter.")],
    as_json: options.Json = False,
) -> None:
    """Add a running daemon as a voter; returns once it has caught up and counts."""
    _change_voters(
        context, operationpaths.VOTERS_ADD, {"id": voter, "address": address, "zone": zone}, as_json
    )


@_voters_app.command("remove")
def _remove(context: typer.Context, voter: _VoterId, as_json: options.Json = False) -> None:
    """Remove a voter, for example one that was lost."""
    _change_voters(context, operationpaths.VOTERS_REMOVE, {"id": voter}, as_json)


def _change_voters(context: typer.Context, path: str, fields: dict, as_json: bool) -> None:
    request = _build_request(fields, operations.VoterRequest)
    answer = options.client(context).write(path, request, operations.VoterAnswer, resend=False)
    _print_answer(answer, views.voters, as_json)


def _build_request(fields: dict, request_type: type[msgspec.Struct]) -> msgspec.Struct:
    try:
        return msgspec.convert(fields, request_type)
    except msgspec.ValidationError as error:
        raise errors.UsageError(str(error)) from error


def _print_answer(answer: msgspec.Struct, tables, as_json: bool) -> None:
    if as_json:
        output.print_json(answer)
    else:
        output.print_tables(tables(answer))
