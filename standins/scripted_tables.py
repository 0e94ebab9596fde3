"""Table services with faults at a chosen call, for tests."""

from collections.abc import Callable, Sequence

from sycamorecroft.errors import (
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from sycamorecroft.store.interfaces import (
    Check,
    Put,
    Row,
    Scan,
    StorePurpose,
    TableService,
)


class ScriptedTables(TableService):
    """Passes calls on, except those that a fault is set for.

    ``fail_at`` is the number of the call, from 1, that fails. It takes effect first if
    ``takes_effect`` is set. With ``holds_writes`` set, writes get no answer and arrive
    only when :meth:`deliver` is called.
    """

    def __init__(self, tables: TableService) -> None:
        self._tables = tables
        self.calls_count = 0
        self.fail_at = 0
        self.takes_effect = False
        self.holds_writes = False
        self._held: list[Callable[[], object]] = []

    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        self._count(is_write=False)
        return self._tables.read(table, key, purpose=purpose)

    def scan(
        self,
        table: str,
        *,
        purpose: StorePurpose,
        prefix: str = "",
        after_version: int = 0,
    ) -> Scan:
        self._count(is_write=False)
        return self._tables.scan(
            table, purpose=purpose, prefix=prefix, after_version=after_version
        )

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        def action() -> int:
            return self._tables.transact(checks, puts, purpose=purpose)

        if self.holds_writes:
            self._held.append(action)
            raise StoreOutcomeUnknownError("the write is held back")
        if self._count(is_write=True):
            action()
            raise StoreOutcomeUnknownError("the response was lost")
        return action()

    def deliver(self) -> None:
        """Lets the held writes arrive; their answers are lost."""
        held, self._held = self._held, []
        for action in held:
            try:
                action()
            except PlatformError:  # Nobody waits for the answer.
                continue

    def _count(self, *, is_write: bool) -> bool:
        """
        :returns: whether the answer of this write is to be lost.
        """
        self.calls_count += 1
        if self.calls_count != self.fail_at:
            return False
        if is_write and self.takes_effect:
            return True
        raise StoreUnavailableError(f"call {self.calls_count} is set to fail")
