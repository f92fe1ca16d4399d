"""Output: rich tables on a terminal, aligned plain text elsewhere, JSON for scripts."""

import dataclasses
import sys
from typing import Any

import msgspec
import rich.console
import rich.table
import rich.text

__all__ = ["Table", "print_error", "print_json", "print_lines", "print_tables"]

_COLUMN_GAP = "  "


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """A table with a title; its cells are unformatted values."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_lines(lines: list[str], *, to_stderr: bool = False) -> None:
    """Prints lines of text without control characters."""
    for line in lines:
        print(_escape_unprintable(line), file=sys.stderr if to_stderr else sys.stdout)


def print_error(code: str, message: str) -> None:
    """Prints a typed error as one line on standard error."""
    print(_escape_unprintable(f"error: {code}: {' '.join(message.split())}"), file=sys.stderr)


def print_tables(tables: tuple[Table, ...]) -> None:
    """Prints tables; plain output of a single table has no title."""
    if sys.stdout.isatty():
        console = rich.console.Console()
        for table in tables:
            console.print(_rich_table(table))
        return
    for position, table in enumerate(tables):
        if len(tables) > 1:
            print(("\n" if position else "") + table.title)
        print("\n".join(_plain_lines(table)))


def _rich_table(table: Table) -> rich.table.Table:
    result = rich.table.Table(title=table.title, title_justify="left")
    for position, column in enumerate(table.columns):
        justify = "right" if _is_numeric(table, position) else "left"
        result.add_column(column, justify=justify, overflow="fold")
    for row in table.rows:
        # rich would interpret square brackets in a plain str as markup.
        result.add_row(*(rich.text.Text(_cell(value)) for value in row))
    return result


def _plain_lines(table: Table) -> list[str]:
    rows = [table.columns, *([_cell(value) for value in row] for row in table.rows)]
    widths = [max(len(row[position]) for row in rows) for position in range(len(table.columns))]
    right_aligned = [_is_numeric(table, position) for position in range(len(table.columns))]
    return [
        _COLUMN_GAP.join(
            cell.rjust(width) if is_right_aligned else cell.ljust(width)
            for cell, width, is_right_aligned in zip(row, widths, right_aligned, strict=True)
        ).rstrip()
        for row in rows
    ]


def _is_numeric(table: Table, position: int) -> bool:
    values = [row[position] for row in table.rows if row[position] is not None]
    return bool(values) and all(
        isinstance(value, int | float) and not isinstance(value, bool) for value in values
    )


def _cell(value: Any) -> str:
    match value:
        case None | "" | ():
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.3f}".rstrip("0").rstrip(".")
        case tuple():
            return ",".join(_cell(each) for each in value)
        case _:
            return _escape_unprintable(str(value))


def _escape_unprintable(text: str) -> str:
    """Escapes control characters: upstreams choose names, which could hold terminal sequences."""
    return "".join(
        character if character.isprintable() else repr(character)[1:-1] for character in text
    )
