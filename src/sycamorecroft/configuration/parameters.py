"""Checks parameter values against their declarations and fills them in."""

import re
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from sycamorecroft.configuration.template import (
    ParameterDeclaration,
    ParameterFile,
    TeamBody,
    Template,
)
from sycamorecroft.errors import ConfigurationError
from sycamorecroft.settings.document import DocumentPlace, convert

_REFERENCE = re.compile(r"\$\{([^}]*)\}")
_TYPES: Mapping[str, Any] = {
    "integer": int,
    "number": float,
    "boolean": bool,
    "text": str,
    "texts": list[str],
    "teams": dict[str, TeamBody],
}


class DeclaredParameter(NamedTuple):
    """A declaration and its place in the template."""

    declaration: ParameterDeclaration
    place: DocumentPlace


def declared_parameters(template: Template) -> dict[str, DeclaredParameter]:
    """
    :returns: declarations of ``template`` by parameter name.
    :raises ConfigurationError: if a declaration is malformed, its default is not
        allowed by its own limits, or the body doesn't use it.
    """
    root = DocumentPlace(template.file, "", ConfigurationError)
    declared = {}
    for name, raw in template.document.parameters.items():
        place = root.at("parameters").at(name)
        declaration = convert(raw, ParameterDeclaration, place)
        declared[name] = DeclaredParameter(declaration, place)
        if declaration.default is not msgspec.UNSET:
            _check_value(declaration.default, declaration, place.at("default"))
    used = _references(template.document.body)
    for name, (_, place) in declared.items():
        if name not in used:
            raise place.failure(
                name, "a parameter that the body uses", "use or remove it"
            )
    return declared


def parameter_values(
    declared: Mapping[str, DeclaredParameter], parameters: ParameterFile
) -> dict[str, Any]:
    """
    :returns: the value of each declared parameter for one client account.
    :raises ConfigurationError: if a value is missing, not declared or not allowed.
    """
    place = DocumentPlace(parameters.file, "parameters", ConfigurationError)
    given = parameters.document.parameters
    for name, value in given.items():
        if name not in declared:
            raise place.at(name).failure(
                value,
                "the declared parameters " + ", ".join(sorted(declared)),
                "remove it or declare it in the template",
            )
        _check_value(value, declared[name].declaration, place.at(name))
    return {
        name: _value_or_default(name, given, parameter.declaration, place)
        for name, parameter in declared.items()
    }


def _value_or_default(
    name: str,
    given: Mapping[str, Any],
    declaration: ParameterDeclaration,
    place: DocumentPlace,
) -> Any:
    if name in given:
        return given[name]
    if declaration.default is msgspec.UNSET:
        raise place.at(name).failure(
            None,
            f"a value of type {declaration.type}, there is no default",
            f"add the key ({declaration.description})",
        )
    return declaration.default


def _check_value(
    value: Any, declaration: ParameterDeclaration, place: DocumentPlace
) -> None:
    convert(value, _TYPES[declaration.type], place)
    if declaration.type in ("integer", "number"):
        _check_range(value, declaration, place)
    if declaration.choices is not None and value not in declaration.choices:
        raise place.failure(
            value, "one of " + ", ".join(declaration.choices), "choose one of them"
        )


def _check_range(
    value: float, declaration: ParameterDeclaration, place: DocumentPlace
) -> None:
    low, high = declaration.minimum, declaration.maximum
    if (low is not None and value < low) or (high is not None and value > high):
        raise place.failure(
            value,
            f"{declaration.type} from {_bound(low)} to {_bound(high)}",
            "choose a value in this range",
        )


def _bound(limit: float | None) -> str:
    return "no limit" if limit is None else f"{limit:g}"


def _references(value: Any) -> set[str]:
    if isinstance(value, str):
        return set(_REFERENCE.findall(value))
    if isinstance(value, dict):
        keys = set().union(*(_references(key) for key in value))
        return keys.union(*(_references(item) for item in value.values()))
    if isinstance(value, list):
        return set().union(*(_references(item) for item in value))
    return set()


def fill_in(value: Any, values: Mapping[str, Any], place: DocumentPlace) -> Any:
    """Replaces references to parameters by their values.

    A text that consists of one reference takes the value with its type; within a
    longer text or a key, the value is written as text.

    :param value: part of a template's body.
    :param values: value of each parameter.
    :param place: place of ``value`` in the template.
    :raises ConfigurationError: if a reference names no declared parameter, or a key
        occurs twice once filled in.
    """
    if isinstance(value, str):
        return _fill_text(value, values, place)
    if isinstance(value, list):
        return [
            fill_in(item, values, place._replace(path=f"{place.path}[{index}]"))
            for index, item in enumerate(value)
        ]
    if isinstance(value, dict):
        return _fill_object(value, values, place)
    return value


def _fill_object(
    value: Mapping[str, Any], values: Mapping[str, Any], place: DocumentPlace
) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for key, item in value.items():
        name = str(_fill_text(key, values, place.at(key)))
        if name in result:
            raise place.at(key).failure(
                name, "a key that occurs once", "choose other parameter values"
            )
        result[name] = fill_in(item, values, place.at(key))
    return result


def _fill_text(text: str, values: Mapping[str, Any], place: DocumentPlace) -> Any:
    for name in _REFERENCE.findall(text):
        if name not in values:
            raise place.failure(
                text,
                "references to the declared parameters " + ", ".join(sorted(values)),
                f"declare {name!r} or correct the reference",
            )
    whole = _REFERENCE.fullmatch(text)
    if whole is not None:
        return values[whole[1]]
    return _REFERENCE.sub(lambda match: str(values[match[1]]), text)
