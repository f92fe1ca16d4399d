"""Command line of the ``coltsfootheadd`` binary."""

import asyncio
import logging as standard_logging
import sys
from typing import Annotated

import typer
from absl import flags, logging

from coltsfoothead.daemon import app, errors, settings

__all__ = ["main"]

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 3

# Without markup mode typer prints errors and help as plain text.
program = typer.Typer(
    help="The coltsfoothead serving daemon.",
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
SettingsFile = Annotated[str, typer.Argument(metavar="FILE", help="Settings file (TOML).")]


@program.command()
def check(file: SettingsFile) -> None:
    """Checks a settings file without starting anything."""
    loaded = _load(file)
    typer.echo(f"{file}: settings of daemon {loaded.daemon.id!r} are valid")


@program.command()
def run(file: SettingsFile) -> None:
    """Runs the daemon until SIGTERM, SIGINT or a reclaim notice."""
    loaded = _load(file)
    _set_up_logging()
    try:
        code = asyncio.run(app.run(loaded))
    except errors.DaemonError as error:
        logging.error("daemon %s: %s", loaded.daemon.id, error)
        code = EXIT_FAILED
    raise typer.Exit(code)


def _load(file: str) -> settings.Settings:
    try:
        return settings.load(file)
    except errors.SettingsError as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from None


def _set_up_logging() -> None:
    # The daemon has no absl flags; if they are not marked as parsed, absl warns at the first line.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.get_absl_handler().python_handler.stream = sys.stderr
    # The coordination library logs through the standard module, so that any program can embed it.
    standard_logging.getLogger("coltsfoothead").setLevel(standard_logging.INFO)


def main() -> None:
    """Entry point of the binary."""
    program()


if __name__ == "__main__":
    main()
