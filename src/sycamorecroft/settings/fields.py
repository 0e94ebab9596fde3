"""Base class of settings, and documentation of their fields."""

from typing import Any

import msgspec


def documented(
    description: str, *, unit: str = "", allowed: str = "", **limits: Any
) -> msgspec.Meta:
    """
    :param description: what the field does, as a sentence.
    :param unit: unit of the value, empty if it has none.
    :param allowed: allowed values, if not given by ``limits``.
    :param limits: constraints that msgspec enforces, such as ``ge`` and ``le``.
    :returns: metadata for the annotation of a settings field.
    """
    extra = {"unit": unit, "allowed": allowed}
    return msgspec.Meta(description=description, extra=extra, **limits)


class Settings(msgspec.Struct, frozen=True):
    """Base class of settings. Its ``repr`` hides tokens, since it may be logged."""

    def __repr__(self) -> str:
        fields = ", ".join(
            f"{key}={'...' if key.endswith('_token') else repr(getattr(self, key))}"
            for key in self.__struct_fields__
        )
        return f"{type(self).__name__}({fields})"
