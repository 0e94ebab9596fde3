"""Decodes JSON with comments into typed structures, with errors that name the location.

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

# msgspec's messages have the form "<problem> - at `$.path`", without the path at the
# root. For a key of an object it is "at `key` in `$.path`", which doesn't name the key.
_VALIDATION_MESSAGE = re.compile(
    r"^(?P<problem>.*?)(?: - at (?P<key>`key` in )?`\$(?P<path>.*)`)?$", re.DOTALL
)
_FIELD_PROBLEM = re.compile(
    r"^Object (missing required|contains unknown) field `(.+)`$"
)
_PATH_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")


class DocumentLocation(NamedTuple):
    """Location of a value in a file, and the error class for reporting it.

    ``path`` is the path of the key from the root of the file, empty for the root.
    """

    file: Path
    path: str
    error: type[SycamorecroftError]

    def at(self, key: str) -> "DocumentLocation":
        """
        :returns: location of ``key`` in the object at this location.
        """
        return self._replace(path=f"{self.path}.{key}" if self.path else key)

    def invalid_value(
        self, got: object, allowed: str, remedy: str
    ) -> SycamorecroftError:
        """
        :param got: the value received.
        :param allowed: the values allowed.
        :param remedy: what to do, as an imperative clause.
        :returns: the error to raise.
        """
        shown_path = self.path or "(whole file)"
        # Messages are logged, and logs must not contain tokens.
        shown = "a hidden value" if "token" in shown_path else _shorten(got)
        return self.error(
            f"{self.file}: {shown_path}: got {shown}; allowed: {allowed}; {remedy}"
        )


def _shorten(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 120 else text[:117] + "..."


def read_document(file: Path, error: type[SycamorecroftError]) -> Any:
    """
    :param file: file with JSON and comments.
    :param error: class of the errors raised.
    :returns: the parsed value.
    :raises SycamorecroftError: of class ``error``, if the file can't be read, is not
        JSON with comments, repeats a key, or contains ``NaN`` or ``Infinity``.
    """
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as cause:
        message = f"{file}: can't be read ({cause}); specify a readable UTF-8 file"
        raise error(message) from cause
    try:
        return jsonc.loads(
            text,
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )
    except ValueError as cause:
        message = f"{file}: not valid JSON with comments: {cause}; correct the file"
        raise error(message) from cause


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            message = f"key {key!r} occurs twice in the same object"
            raise ValueError(message)
        result[key] = value
    return result


def _reject_constant(name: str) -> Any:
    message = f"{name} is not a JSON number"
    raise ValueError(message)


def convert(
    raw: Any, target_type: type[Decoded], location: DocumentLocation
) -> Decoded:
    """
    :param raw: parsed JSON value.
    :param target_type: type to decode into.
    :param location: location of ``raw``.
    :returns: the typed value.
    :raises SycamorecroftError: of the class in ``location``, if ``raw`` is not valid.
    """
    try:
        return msgspec.convert(raw, target_type)
    except msgspec.ValidationError as cause:
        raise _validation_error(str(cause), raw, target_type, location) from cause


def _validation_error(
    text: str, raw: Any, target_type: Any, location: DocumentLocation
) -> SycamorecroftError:
    match = _VALIDATION_MESSAGE.match(text)
    assert match is not None
    problem, inner_path = match["problem"], match["path"] or ""
    field = _FIELD_PROBLEM.match(problem)
    inner_location = (
        location.at(inner_path.removeprefix(".")) if inner_path else location
    )
    if field is None:
        got = _value_at(raw, inner_path)
        if match["key"]:
            return inner_location.invalid_value(sorted(got), problem, "correct the key")
        return inner_location.invalid_value(got, problem, "correct the value")
    if field[1] == "missing required":
        return inner_location.at(field[2]).invalid_value(
            None, "a value is required", "add the key"
        )
    return _unknown_field(
        field[2], _value_at(raw, inner_path), target_type, inner_location
    )


def _unknown_field(
    name: str, parent: Any, target_type: Any, location: DocumentLocation
) -> SycamorecroftError:
    known_names = _field_names(target_type) if not location.path else ()
    suggestions = difflib.get_close_matches(name, known_names, n=1)
    remedy = f"did you mean {suggestions[0]!r}?" if suggestions else "remove the key"
    allowed = ", ".join(known_names) if known_names else "only the documented keys"
    return location.at(name).invalid_value(parent.get(name), allowed, remedy)


def _field_names(target_type: Any) -> tuple[str, ...]:
    if isinstance(target_type, type) and issubclass(target_type, msgspec.Struct):
        return tuple(field.encode_name for field in msgspec.structs.fields(target_type))
    return ()


def _value_at(raw: Any, path: str) -> Any:
    value = raw
    for key, index in _PATH_STEP.findall(path):
        try:
            value = value[key] if key else value[int(index)]
        except (KeyError, IndexError, TypeError):
            return value
    return value
