"""Checks parameter values against their declarations and substitutes them."""

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
from sycamorecroft.settings.document import DocumentLocation, convert

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
    """A declaration and its location in the template."""

    declaration: ParameterDeclaration
    location: DocumentLocation


def declared_parameters(template: Template) -> dict[str, DeclaredParameter]:
    """
    :returns: declarations of ``template`` by parameter name.
    :raises ConfigurationError: if a declaration is malformed, its default violates its
        own limits, or the body does not use it.
    """
    root = DocumentLocation(template.file, "", ConfigurationError)
    declared = {}
    for name, raw in template.document.parameters.items():
        location = root.at("parameters").at(name)
        declaration = convert(raw, ParameterDeclaration, location)
        declared[name] = DeclaredParameter(declaration, location)
        if declaration.default is not msgspec.UNSET:
            _check_value(declaration.default, declaration, location.at("default"))
    used = _references(template.document.body)
    for name, (_, location) in declared.items():
        if name not in used:
            raise location.invalid_value(
                name, "a parameter that the body uses", "use or remove it"
            )
    return declared


def parameter_values(
    declared: Mapping[str, DeclaredParameter], parameters: ParameterFile
) -> dict[str, Any]:
    """
    :returns: values of all declared parameters for one client account, by name.
    :raises ConfigurationError: if a value is missing, not declared or not allowed.
    """
    location = DocumentLocation(parameters.file, "parameters", ConfigurationError)
    provided = parameters.document.parameters
    for name, value in provided.items():
        if name not in declared:
            raise location.at(name).invalid_value(
                value,
                "the declared parameters " + ", ".join(sorted(declared)),
                "remove the key or declare the parameter in the template",
            )
        _check_value(value, declared[name].declaration, location.at(name))
    return {
        name: _value_or_default(name, provided, parameter.declaration, location)
        for name, parameter in declared.items()
    }


def _value_or_default(
    name: str,
    provided: Mapping[str, Any],
    declaration: ParameterDeclaration,
    location: DocumentLocation,
) -> Any:
    if name in provided:
        return provided[name]
    if declaration.default is msgspec.UNSET:
        raise location.at(name).invalid_value(
            None,
            f"a value of type {declaration.type}, since there is no default",
            f"add the key ({declaration.description})",
        )
    return declaration.default


def _check_value(
    value: Any, declaration: ParameterDeclaration, location: DocumentLocation
) -> None:
    convert(value, _TYPES[declaration.type], location)
    if declaration.type in ("integer", "number"):
        _check_range(value, declaration, location)
    if declaration.choices is not None and value not in declaration.choices:
        raise location.invalid_value(
            value, "one of " + ", ".join(declaration.choices), "use one of them"
        )


def _check_range(
    value: float, declaration: ParameterDeclaration, location: DocumentLocation
) -> None:
    low, high = declaration.minimum, declaration.maximum
    if (low is not None and value < low) or (high is not None and value > high):
        raise location.invalid_value(
            value,
            f"{declaration.type} from {_format_limit(low)} to {_format_limit(high)}",
            "use a value in this range",
        )


def _format_limit(limit: float | None) -> str:
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


def substitute(
    value: Any, values: Mapping[str, Any], location: DocumentLocation
) -> Any:
    """Replaces parameter references by their values.

    A string that is a single reference is replaced by the value, which keeps its type;
    within a longer string or a key, the value is inserted as text.

    :param value: a JSON value of a template's body.
    :param values: parameter values by name.
    :param location: location of ``value`` in the template.
    :returns: a copy of ``value`` without references.
    :raises ConfigurationError: if a reference names an undeclared parameter, or a key
        occurs twice after the substitution.
    """
    if isinstance(value, str):
        return _substitute_text(value, values, location)
    if isinstance(value, list):
        return [
            substitute(
                item, values, location._replace(path=f"{location.path}[{index}]")
            )
            for index, item in enumerate(value)
        ]
    if isinstance(value, dict):
        return _substitute_object(value, values, location)
    return value


def _substitute_object(
    value: Mapping[str, Any], values: Mapping[str, Any], location: DocumentLocation
) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for key, item in value.items():
        name = str(_substitute_text(key, values, location.at(key)))
        if name in result:
            raise location.at(key).invalid_value(
                name, "a key that occurs only once", "use other parameter values"
            )
        result[name] = substitute(item, values, location.at(key))
    return result


def _substitute_text(
    text: str, values: Mapping[str, Any], location: DocumentLocation
) -> Any:
    for name in _REFERENCE.findall(text):
        if name not in values:
            raise location.invalid_value(
                text,
                "references to the declared parameters " + ", ".join(sorted(values)),
                f"declare {name!r} or correct the reference",
            )
    full_match = _REFERENCE.fullmatch(text)
    if full_match is not None:
        return values[full_match[1]]
    return _REFERENCE.sub(lambda match: str(values[match[1]]), text)
