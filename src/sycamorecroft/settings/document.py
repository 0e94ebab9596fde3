"""JSON with comments into typed structures, with errors that name the place.

Used for settings, templates, parameter files and inventories.
"""

import difflib
import re
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import jsonc
import msgspec

from sycamorecroft.errors import SycamorecroftError

Decoded = TypeVar("Decoded")

# msgspec writes "<problem> - at `$.path`"; the path is left out at the root. For the
# key of an object it writes "at `key` in `$.path`" and doesn't tell which key.
_PROBLEM = re.compile(
    r"^(?P<problem>.*?)(?: - at (?P<key>`key` in )?`\$(?P<path>.*)`)?$", re.DOTALL
)
_FIELD = re.compile(r"^Object (missing required|contains unknown) field `(.+)`$")
_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")


class DocumentPlace(NamedTuple):
    """Where a value stands, and the error class to report it with.

    ``path`` is the key's path from the root of the file, empty for the root.
    """

    file: Path
    path: str
    error: type[SycamorecroftError]

    def at(self, key: str) -> "DocumentPlace":
        """
        :returns: the place of ``key`` within this one.
        """
        return self._replace(path=f"{self.path}.{key}" if self.path else key)

    def failure(self, got: object, allowed: str, remedy: str) -> SycamorecroftError:
        """
        :param got: the value received.
        :param allowed: the values allowed.
        :param remedy: what to do, as a clause.
        :returns: the error to raise.
        """
        where = self.path or "(whole file)"
        # Messages end in logs, where a token must not stand.
        shown = "a value that is not shown" if "token" in where else _shorten(got)
        return self.error(
            f"{self.file}: {where}: got {shown}; allowed: {allowed}; {remedy}"
        )


def _shorten(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 120 else text[:117] + "..."


def read_document(file: Path, error: type[SycamorecroftError]) -> Any:
    """
    :param file: file with JSON and comments.
    :param error: class of the errors raised.
    :returns: the parsed value.
    :raises SycamorecroftError: of class ``error``, if the file can't be read, isn't
        JSON, repeats a key, or holds a number that JSON doesn't have.
    """
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as cause:
        message = f"{file}: can't be read ({cause}); name a readable UTF-8 file"
        raise error(message) from cause
    try:
        return jsonc.loads(
            text, object_pairs_hook=_unique_keys, parse_constant=_refuse_constant
        )
    except ValueError as cause:
        message = f"{file}: not valid JSON with comments: {cause}; correct the file"
        raise error(message) from cause


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            message = f"key {key!r} occurs twice in one object"
            raise ValueError(message)
        result[key] = value
    return result


def _refuse_constant(name: str) -> Any:
    message = f"{name} is not a JSON number"
    raise ValueError(message)


def convert(raw: Any, kind: type[Decoded], place: DocumentPlace) -> Decoded:
    """
    :param raw: parsed JSON value.
    :param kind: msgspec type to decode into.
    :param place: place of ``raw``.
    :returns: the typed value.
    :raises SycamorecroftError: of the class in ``place``, if ``raw`` doesn't fit.
    """
    try:
        return msgspec.convert(raw, kind)
    except msgspec.ValidationError as cause:
        raise _explain(str(cause), raw, kind, place) from cause


def _explain(
    text: str, raw: Any, kind: Any, place: DocumentPlace
) -> SycamorecroftError:
    match = _PROBLEM.match(text)
    assert match is not None
    problem, inner = match["problem"], match["path"] or ""
    field = _FIELD.match(problem)
    inner_place = place.at(inner.removeprefix(".")) if inner else place
    if field is None:
        got = _value_at(raw, inner)
        if match["key"]:
            return inner_place.failure(sorted(got), problem, "correct the key")
        return inner_place.failure(got, problem, "correct the value")
    if field[1] == "missing required":
        return inner_place.at(field[2]).failure(
            None, "a value is required", "add the key"
        )
    return _unknown_field(field[2], _value_at(raw, inner), kind, inner_place)


def _unknown_field(
    name: str, holder: Any, kind: Any, place: DocumentPlace
) -> SycamorecroftError:
    known = _field_names(kind) if not place.path else ()
    close = difflib.get_close_matches(name, known, n=1)
    remedy = f"did you mean {close[0]!r}?" if close else "remove the key"
    allowed = ", ".join(known) if known else "only the documented keys"
    return place.at(name).failure(holder.get(name), allowed, remedy)


def _field_names(kind: Any) -> tuple[str, ...]:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return tuple(field.encode_name for field in msgspec.structs.fields(kind))
    return ()


def _value_at(raw: Any, path: str) -> Any:
    value = raw
    for key, index in _STEP.findall(path):
        try:
            value = value[key] if key else value[int(index)]
        except (KeyError, IndexError, TypeError):
            return value
    return value
