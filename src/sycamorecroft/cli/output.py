"""Output of the command-line tool: tables for people, JSON for programs."""

import sys
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

# Width of tables that are not written to a terminal; wide enough not to wrap.
FILE_WIDTH_CHARACTERS = 240


def json_line(value: Any) -> str:
    """
    :returns: ``value`` as one line of JSON; named tuples become objects.
    """
    return msgspec.json.encode(_named(value)).decode()


def print_json(value: Any) -> None:
    """Prints ``value`` as one line of JSON."""
    print_line(json_line(value))


def print_table(title: str, columns: Sequence[str], rows: Iterable[Sequence]) -> None:
    """Prints a table, or that it is empty."""
    width = None if sys.stdout.isatty() else FILE_WIDTH_CHARACTERS
    table = Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    console = Console(file=sys.stdout, width=width, highlight=False, markup=False)
    if table.row_count:
        # A title of the table itself would be wrapped to the width of the columns.
        console.print(title)
        console.print(table)
    else:
        console.print(f"{title}: none")


def print_line(text: str) -> None:
    """Prints one line of text, at once also when it goes to a file."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def print_error(text: str, exit_code: int, as_json: bool) -> None:
    """Prints an error to the standard error stream."""
    if as_json:
        error = {"error": text, "exit_code": int(exit_code)}
        text = msgspec.json.encode(error).decode()
    sys.stderr.write(text + "\n")


def _named(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        return {key: _named(item) for key, item in value._asdict().items()}
    if isinstance(value, msgspec.Struct):
        return _named(msgspec.structs.asdict(value))
    if isinstance(value, dict):
        return {key: _named(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_named(item) for item in value]
    return value
