"""Prints the settings reference: ``python -m sycamorecroft.settings.reference``.

The text is generated from the annotations of the settings, so that the page always
matches the defaults and the checks. ``docs/settings.md`` holds the output.
"""

import sys
from collections.abc import Iterator
from typing import Any

import msgspec

from sycamorecroft.settings.daemon import DaemonSettings, EntryHostAddress
from sycamorecroft.settings.node import (
    CapacityPlanningSettings,
    HostCapacitySettings,
    HostControlSettings,
    NodeSettings,
    PlacementSettings,
    PlatformLimitSettings,
    StoreSettings,
)
from sycamorecroft.settings.tool import ToolSettings

_HEADER = """\
# Settings

Settings files are JSON with comments. Unknown keys, repeated keys and values out of
range are errors that name the file, the key, the value and the allowed values.
`deployments/` has a commented file for each site.

This page is the output of `python -m sycamorecroft.settings.reference`.
"""

_SECTIONS = (
    ("Daemon", DaemonSettings),
    ("Entries of `entries`", EntryHostAddress),
    ("Command-line tool", ToolSettings),
    ("Node", NodeSettings),
    ("Node: `store`", StoreSettings),
    ("Node: `machines`", HostControlSettings),
    ("Node: `bounds`", PlatformLimitSettings),
    ("Node: `capacity`", HostCapacitySettings),
    ("Node: `placement`", PlacementSettings),
    ("Node: `capacity_planning`", CapacityPlanningSettings),
)


def reference_text() -> str:
    """
    :returns: the settings reference as Markdown.
    """
    sections = (
        "".join(_section(title, struct_type)) for title, struct_type in _SECTIONS
    )
    return "\n".join((_HEADER, *sections))


def _section(title: str, struct_type: type[msgspec.Struct]) -> Iterator[str]:
    yield f"## {title}\n\n"
    yield "| Key | Default | Unit | Allowed | Meaning |\n|---|---|---|---|---|\n"
    types = msgspec.inspect.type_info(struct_type).fields
    for field, info in zip(msgspec.structs.fields(struct_type), types, strict=True):
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
    message = f"{annotation} has no description; annotate the field with documented()"
    raise TypeError(message)


def _default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return "required"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def _allowed(value_type: Any) -> str:
    while isinstance(value_type, msgspec.inspect.Metadata):
        value_type = value_type.type
    if isinstance(value_type, msgspec.inspect.LiteralType):
        return ", ".join(f"`{value}`" for value in value_type.values)
    if isinstance(value_type, (msgspec.inspect.IntType, msgspec.inspect.FloatType)):
        return _range(value_type)
    if isinstance(value_type, msgspec.inspect.CollectionType):
        return f"{value_type.min_length} to {value_type.max_length} entries"
    return ""


def _range(value_type: Any) -> str:
    minimum = value_type.ge if value_type.ge is not None else value_type.gt
    if value_type.le is not None:
        return f"{_number(minimum)} to {_number(value_type.le)}"
    return f"{'from' if value_type.ge is not None else 'above'} {_number(minimum)}"


def _number(value: float) -> str:
    return str(int(value)) if value == int(value) else str(value)


if __name__ == "__main__":
    sys.stdout.write(reference_text())
