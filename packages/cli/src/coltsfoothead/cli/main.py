"""Entry point of the `coltsfoothead` command."""

import sys
from typing import Annotated

import typer

from coltsfoothead.cli import (
    configcommands,
    errors,
    exitcodes,
    explaincommand,
    fleetcommands,
    httpclient,
    options,
    output,
    readcommands,
    targets,
)
from coltsfoothead.kernel import environment

__all__ = ["app", "main"]

# With the markup mode off, typer prints errors and help as plain text.
app = typer.Typer(
    help=(
        "Operate coltsfoothead through any daemon of an installation.\n\n"
        "The options below stand before the command and say which installation: addresses of "
        "daemons with a token file, or a named target from a targets file."
    ),
    add_completion=False,
    rich_markup_mode=None,
)
configcommands.add_commands(app)
readcommands.add_commands(app)
fleetcommands.add_commands(app)
explaincommand.add_commands(app)

_ConnectTimeout = Annotated[
    float, typer.Option(min=0.001, max=3600, help="Bound on connecting to one address.")
]
_AnswerTimeout = Annotated[
    float, typer.Option(min=0.001, max=3600, help="Bound on one answer after connecting.")
]


@app.callback()
def _root(
    context: typer.Context,
    address: Annotated[
        str | None,
        typer.Option(
            help=f"Operators' addresses, IP:port[,IP:port...]. Default: {targets.ADDRESS_VARIABLE}."
        ),
    ] = None,
    token_file: Annotated[
        str | None,
        typer.Option(
            help=f"File that holds the bearer token. Default: {targets.TOKEN_FILE_VARIABLE}."
        ),
    ] = None,
    target: Annotated[
        str | None, typer.Option(help="Name of a target in the targets file; excludes --address.")
    ] = None,
    targets_file: Annotated[
        str | None,
        typer.Option(help=f"TOML file of targets. Default: {targets.TARGETS_FILE_VARIABLE}."),
    ] = None,
    connect_timeout_seconds: _ConnectTimeout = httpclient.CONNECT_TIMEOUT_SECONDS,
    timeout_seconds: _AnswerTimeout = httpclient.ANSWER_TIMEOUT_SECONDS,
) -> None:
    selection = targets.Selection(address, token_file, target, targets_file)
    timeouts = httpclient.Timeouts(connect_timeout_seconds, timeout_seconds)
    context.obj = options.State(selection, timeouts)


def main(arguments: list[str] | None = None) -> int:
    """Runs one command and returns its exit code.

    Parameters
    ----------
    arguments : list of str or None
        Arguments after the program name; None stands for those of the process.
    """
    command = typer.main.get_command(app)
    try:
        code = command.main(arguments, prog_name="coltsfoothead", standalone_mode=False)
        if code == exitcodes.ExitCode.INTERRUPTED:
            return _fail("interrupted", "no change was made", exitcodes.ExitCode.INTERRUPTED)
        return int(code or exitcodes.ExitCode.OK)
    except errors.CliError as error:
        return _fail(error.code, str(error), error.exit_code)
    except environment.EnvironmentError as error:
        error_class = errors.InvalidDocumentError
        return _fail(error_class.code, str(error), error_class.exit_code)
    except typer.TyperException as error:
        return _fail(errors.UsageError.code, error.format_message(), exitcodes.ExitCode.USAGE)


def _fail(code: str, message: str, exit_code: exitcodes.ExitCode) -> int:
    output.print_error(code, message)
    return exit_code


if __name__ == "__main__":
    sys.exit(main())
