"""Documented field types of settings; the reference page is printed from them."""

from typing import Any

import msgspec


def documented(
    description: str, *, unit: str = "", allowed: str = "", **limits: Any
) -> msgspec.Meta:
    """
    :param description: what the field does, as a sentence.
    :param unit: unit of the value, empty if it has none.
    :param allowed: allowed values where ``limits`` don't tell.
    :param limits: limits that msgspec enforces, such as ``ge`` and ``le``.
    :returns: annotation of a settings field.
    """
    extra = {"unit": unit, "allowed": allowed}
    return msgspec.Meta(description=description, extra=extra, **limits)
