"""Proxy that tells a hook of each call, for tests that stop a process at a call."""

from collections.abc import Callable
from enum import StrEnum


class Moment(StrEnum):
    """Moment relative to a call."""

    BEFORE = "before"
    AFTER = "after"


Hook = Callable[[str, Moment], None]


class Hooked:
    """Passes all calls on to ``target``; an exception of the hook ends the call."""

    def __init__(self, target: object, hook: Hook) -> None:
        self._target = target
        self._hook = hook

    def __getattr__(self, name: str) -> Callable[..., object]:
        method = getattr(self._target, name)

        def call(*arguments: object, **options: object) -> object:
            self._hook(name, Moment.BEFORE)
            result = method(*arguments, **options)
            self._hook(name, Moment.AFTER)
            return result

        return call
