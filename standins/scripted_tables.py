"""Table service with faults at chosen calls, for tests."""

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
    """Forwards calls to a table service, except those affected by a fault.

    :ivar calls_count: number of calls so far.
    :ivar fail_at: number of the call, counted from 1, that fails; 0 for none.
    :ivar takes_effect: whether a write that fails has taken effect before.
    :ivar holds_writes: whether writes fail with an unknown outcome and are applied only
        by :meth:`deliver`.
    """

    def __init__(self, tables: TableService) -> None:
        self._tables = tables
        self.calls_count = 0
        self.fail_at = 0
        self.takes_effect = False
        self.holds_writes = False
        self._held_writes: list[Callable[[], object]] = []

    def read(self, table: str, key: str, *, purpose: StorePurpose) -> Row | None:
        self._count_call(is_write=False)
        return self._tables.read(table, key, purpose=purpose)

    def scan(
        self,
        table: str,
        *,
        purpose: StorePurpose,
        prefix: str = "",
        after_version: int = 0,
    ) -> Scan:
        self._count_call(is_write=False)
        return self._tables.scan(
            table, purpose=purpose, prefix=prefix, after_version=after_version
        )

    def transact(
        self, checks: Sequence[Check], puts: Sequence[Put], *, purpose: StorePurpose
    ) -> int:
        def action() -> int:
            return self._tables.transact(checks, puts, purpose=purpose)

        if self.holds_writes:
            self._held_writes.append(action)
            raise StoreOutcomeUnknownError(
                "the write is held by the stand-in until it is delivered"
            )
        if self._count_call(is_write=True):
            action()
            raise StoreOutcomeUnknownError(
                "the response of the write was lost by the stand-in"
            )
        return action()

    def deliver(self) -> None:
        """Applies the held writes; their responses are lost."""
        held_writes, self._held_writes = self._held_writes, []
        for action in held_writes:
            try:
                action()
            except PlatformError:  # The caller no longer waits for the response.
                continue

    def _count_call(self, *, is_write: bool) -> bool:
        """
        :returns: whether the response of this write must be lost.
        :raises StoreUnavailableError: when this call must fail without effect.
        """
        self.calls_count += 1
        if self.calls_count != self.fail_at:
            return False
        if is_write and self.takes_effect:
            return True
        raise StoreUnavailableError(
            f"call {self.calls_count} fails because fail_at is set to it"
        )
