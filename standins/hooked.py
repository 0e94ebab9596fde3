"""Proxy that calls a hook around each call, to pause or end a process there."""

from collections.abc import Callable
from enum import StrEnum


class HookPoint(StrEnum):
    """Point relative to a call at which the hook is called."""

    BEFORE = "before"
    AFTER = "after"


Hook = Callable[[str, HookPoint], None]


class HookedProxy:
    """Forwards all calls to ``target`` and calls a hook before and after each.

    An exception of the hook propagates to the caller: raised before the call, it keeps
    the call from taking effect; raised after it, it replaces the result.

    :param hook: called with the method's name and the point relative to the call.
    """

    def __init__(self, target: object, hook: Hook) -> None:
        self._target = target
        self._hook = hook

    def __getattr__(self, name: str) -> Callable[..., object]:
        method = getattr(self._target, name)

        def call(*arguments: object, **options: object) -> object:
            self._hook(name, HookPoint.BEFORE)
            result = method(*arguments, **options)
            self._hook(name, HookPoint.AFTER)
            return result

        return call
