"""Stand-in of the platform's object store in memory."""

import threading
from collections.abc import Callable

from standins.faults import FaultInjector, Operation
from sycamorecroft.errors import StoreOutcomeUnknownError, StoreUnavailableError
from sycamorecroft.store.interfaces import ObjectStore


class MemoryObjects(ObjectStore):
    """Object store in memory. Thread-safe.

    A lost response of a write raises ``StoreUnavailableError``, since writes of objects
    are idempotent and callers repeat them.

    :param faults: faults applied to each call of this handle.
    """

    def __init__(self, faults: FaultInjector | None = None) -> None:
        self.faults = faults or FaultInjector()
        self._lock = threading.Lock()
        self._bodies: dict[str, bytes] = {}

    def connect(self, faults: FaultInjector | None = None) -> "MemoryObjects":
        """
        :returns: another handle to the same objects, with faults of its own.
        """
        handle = MemoryObjects(faults)
        handle._lock = self._lock
        handle._bodies = self._bodies
        return handle

    def put(self, key: str, body: bytes) -> None:
        def action() -> None:
            with self._lock:
                self._bodies[key] = body

        self._write(action)

    def get(self, key: str) -> bytes | None:
        def action() -> bytes | None:
            with self._lock:
                return self._bodies.get(key)

        return self.faults.call(Operation.READ, action)

    def delete(self, key: str) -> None:
        def action() -> None:
            with self._lock:
                self._bodies.pop(key, None)

        self._write(action)

    def _write(self, action: Callable[[], None]) -> None:
        try:
            self.faults.call(Operation.WRITE, action)
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error
