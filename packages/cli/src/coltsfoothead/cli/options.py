"""Options shared by several commands, and the clients made from the global options."""

import dataclasses
import pathlib
from typing import Annotated

import typer

from coltsfoothead.cli import httpclient, operatorsclient, targets

__all__ = [
    "Author",
    "ChangeId",
    "File",
    "Json",
    "NoWait",
    "State",
    "client",
    "client_at",
]

Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
File = Annotated[pathlib.Path, typer.Argument(metavar="FILE", help="Environment document (TOML).")]
ChangeId = Annotated[
    str | None,
    typer.Option("--change-id", help="Change ID; the same ID makes a resend safe. Default: new."),
]
Author = Annotated[
    str | None, typer.Option("--author", help="Author of the change. Default: the login name.")
]
NoWait = Annotated[
    bool, typer.Option("--no-wait", help="Return once accepted, before it is in force.")
]


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Values of the global options, which precede the command."""

    selection: targets.Selection
    timeouts: httpclient.Timeouts


def client(context: typer.Context) -> operatorsclient.Client:
    """Returns a client of the target that the global options select."""
    state: State = context.obj
    return operatorsclient.Client(targets.resolve(state.selection), state.timeouts)


def client_at(context: typer.Context, location: str) -> operatorsclient.Client:
    """Returns a client of an installation.

    Parameters
    ----------
    location : str
        IP:port, a comma-separated list of them, or the name of a target.
    """
    state: State = context.obj
    # Every address contains a colon; no name does.
    field = "address" if ":" in location else "target"
    selection = dataclasses.replace(
        state.selection, **{"address": None, "target": None, field: location}
    )
    return operatorsclient.Client(targets.resolve(selection), state.timeouts)
