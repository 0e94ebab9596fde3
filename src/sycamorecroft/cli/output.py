"""Output of the command-line tool: tables for people, JSON for programs."""

import sys
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

# Width of tables that are written to a file or pipe; wide enough to avoid wrapping.
FILE_WIDTH_CHARACTERS = 240


def json_line(value: Any) -> str:
    """
    :returns: ``value`` as one line of JSON; named tuples are encoded as objects.
    """
    return msgspec.json.encode(_to_builtins(value)).decode()


def print_json(value: Any) -> None:
    """Prints ``value`` as one line of JSON."""
    print_line(json_line(value))


def print_table(title: str, columns: Sequence[str], rows: Iterable[Sequence]) -> None:
    """Prints a table with its title, or ``TITLE: none`` if it has no rows."""
    width = None if sys.stdout.isatty() else FILE_WIDTH_CHARACTERS
    table = Table(box=None, pad_edge=False)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    console = Console(file=sys.stdout, width=width, highlight=False, markup=False)
    if table.row_count:
        # Rich would wrap the title of a Table to the width of its columns.
        console.print(title)
        console.print(table)
    else:
        console.print(f"{title}: none")


def print_line(text: str) -> None:
    """Prints one line of text, flushed so that readers of a pipe see it at once."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def print_error(text: str, exit_code: int, as_json: bool) -> None:
    """Prints an error to standard error, as a JSON object if ``as_json``."""
    if as_json:
        error = {"error": text, "exit_code": int(exit_code)}
        text = msgspec.json.encode(error).decode()
    sys.stderr.write(text + "\n")


def _to_builtins(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        return {key: _to_builtins(item) for key, item in value._asdict().items()}
    if isinstance(value, msgspec.Struct):
        return _to_builtins(msgspec.structs.asdict(value))
    if isinstance(value, dict):
        return {key: _to_builtins(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_to_builtins(item) for item in value]
    return value
