"""Options that several commands share, and the state that the commands get from them."""

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
    """What the options before the command say."""

    selection: targets.Selection
    timeouts: httpclient.Timeouts


def client(context: typer.Context) -> operatorsclient.Client:
    """Returns a client of the selected target."""
    state: State = context.obj
    return operatorsclient.Client(targets.resolve(state.selection), state.timeouts)


def client_at(context: typer.Context, place: str) -> operatorsclient.Client:
    """Returns a client of a place given as IP:port, a comma-separated list, or a target's name."""
    state: State = context.obj
    # A name has no colon, an address always has one.
    field = "address" if ":" in place else "target"
    selection = dataclasses.replace(
        state.selection, **{"address": None, "target": None, field: place}
    )
    return operatorsclient.Client(targets.resolve(selection), state.timeouts)
