"""Immutable value that one owner publishes and any thread reads without a lock."""

from typing import Generic, TypeVar

Value = TypeVar("Value")


class PublishedValue(Generic[Value]):
    """Latest value that an owner has published.

    Publishing replaces one reference, which is atomic, so readers need no lock.

    :param initial: value before the first one is published; must be immutable.
    """

    def __init__(self, initial: Value) -> None:
        self._value = initial

    def get(self) -> Value:
        """
        :returns: the latest value.
        """
        return self._value

    def set(self, value: Value) -> None:
        """Publishes a value; called by the owner only."""
        self._value = value
