"""Budget of the bytes that a process holds for requests and responses."""

from threading import Lock

# Counted with the connection. Ordinary requests need no more, so that they are served
# while the budget is used up.
CONNECTION_ALLOWANCE_BYTES = 16 * 1024


class MemoryBudget:
    """Bytes held by all listeners of a process. Thread-safe.

    :param limit_bytes: bytes that may be held.
    :ivar is_short: whether a reservation failed since :meth:`end_shortage`.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.is_short = False
        self._held_bytes = 0
        self._lock = Lock()

    @property
    def held_bytes(self) -> int:
        """Bytes held at present; counted ones may exceed the limit."""
        return self._held_bytes

    def reserve(self, charge: "Charge", size_bytes: int) -> bool:
        """Adds bytes to a charge if they are available.

        :returns: whether they were added.
        """
        with self._lock:
            if self._held_bytes + size_bytes > self.limit_bytes:
                self.is_short = True
                return False
            self._held_bytes += size_bytes
            charge.size_bytes += size_bytes
            return True

    def count(self, charge: "Charge", size_bytes: int) -> None:
        """Sets the bytes of a charge, which are held already."""
        with self._lock:
            self._held_bytes += size_bytes - charge.size_bytes
            charge.size_bytes = size_bytes
            if self._held_bytes > self.limit_bytes:
                self.is_short = True

    def has_free(self, size_bytes: int) -> bool:
        """
        :returns: whether the bytes are available.
        """
        return self._held_bytes + size_bytes <= self.limit_bytes

    def end_shortage(self) -> None:
        """Ends a shortage unless the budget is still used up."""
        with self._lock:
            self.is_short = self._held_bytes >= self.limit_bytes


class Charge:
    """Part of the budget that one request or response holds. Thread-safe."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.size_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserves further bytes if they are available.

        :returns: whether they were reserved.
        """
        return self._budget.reserve(self, size_bytes)

    def count(self, size_bytes: int) -> None:
        """Sets the bytes held, which may exceed the limit of the budget."""
        self._budget.count(self, size_bytes)

    def release(self) -> None:
        """Releases all bytes; idempotent."""
        if self.size_bytes:
            self._budget.count(self, 0)
