"""Prints the reference of settings: ``python -m sycamorecroft.settings.reference``.

The text is made from the annotations of the settings, so that the page, the defaults
and the checks can't differ. ``docs/settings.md`` holds the output.
"""

import sys
from collections.abc import Iterator
from typing import Any

import msgspec

from sycamorecroft.settings.daemon import DaemonSettings, EntryAddress
from sycamorecroft.settings.node import (
    BoundSettings,
    MachineSettings,
    NodeSettings,
    StoreSettings,
)
from sycamorecroft.settings.tool import ToolSettings

_INTRODUCTION = """\
# Settings

Settings are files of JSON with comments. Unknown keys, repeated keys and values out of
range are errors that name the file, the key, the value and what is allowed.
`deployments/` has a commented file for each site.

This page is the output of `python -m sycamorecroft.settings.reference`.
"""

_SECTIONS = (
    ("Daemon", DaemonSettings),
    ("Entries of `entries`", EntryAddress),
    ("Command-line tool", ToolSettings),
    ("Node on the users' machines", NodeSettings),
    ("Node: `store`", StoreSettings),
    ("Node: `machines`", MachineSettings),
    ("Node: `bounds`", BoundSettings),
)


def reference_text() -> str:
    """
    :returns: the page as Markdown.
    """
    sections = ("".join(_section(title, kind)) for title, kind in _SECTIONS)
    return "\n".join((_INTRODUCTION, *sections))


def _section(title: str, kind: type[msgspec.Struct]) -> Iterator[str]:
    yield f"## {title}\n\n"
    yield "| Key | Default | Unit | Allowed | Meaning |\n|---|---|---|---|---|\n"
    types = msgspec.inspect.type_info(kind).fields
    for field, info in zip(msgspec.structs.fields(kind), types, strict=True):
        description, unit, allowed = _documentation(field.type)
        cells = (
            f"`{field.encode_name}`",
            _default(field),
            unit,
            allowed or _allowed(info.type),
            description,
        )
        yield "| " + " | ".join(cells) + " |\n"


def _documentation(annotation: Any) -> tuple[str, str, str]:
    for meta in reversed(annotation.__metadata__):
        if meta.description:
            return meta.description, meta.extra["unit"], meta.extra["allowed"]
    message = f"{annotation} has no description; annotate it with documented()"
    raise TypeError(message)


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def _allowed(kind: Any) -> str:
    while isinstance(kind, msgspec.inspect.Metadata):
        kind = kind.type
    if isinstance(kind, msgspec.inspect.LiteralType):
        return ", ".join(f"`{value}`" for value in kind.values)
    if isinstance(kind, (msgspec.inspect.IntType, msgspec.inspect.FloatType)):
        return _range(kind)
    if isinstance(kind, msgspec.inspect.CollectionType):
        return f"{kind.min_length} to {kind.max_length} entries"
    return ""


def _range(kind: Any) -> str:
    low = kind.ge if kind.ge is not None else kind.gt
    if kind.le is not None:
        return f"{_number(low)} to {_number(kind.le)}"
    return f"{'from' if kind.ge is not None else 'above'} {_number(low)}"


def _number(value: float) -> str:
    return str(int(value)) if value == int(value) else str(value)


if __name__ == "__main__":
    sys.stdout.write(reference_text())
