"""Operations on registered hosts and on pools, under a controller's lease."""

from typing import NamedTuple

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    HostBlockedError,
    PoolOperationError,
    StoreUnavailableError,
)
from sycamorecroft.leases.lease import ControllerLease
from sycamorecroft.pools import transitions
from sycamorecroft.pools.clearance import (
    Acknowledgements,
    Clearance,
    DrainingHost,
    evaluate_clearance,
)
from sycamorecroft.pools.host_rows import NO_EXTRA_WRITE, ExtraWrite, HostRowStore
from sycamorecroft.pools.records import (
    ENTRIES_TABLE,
    BudgetRow,
    HostRow,
    decode_entry_host,
)
from sycamorecroft.pools.state import HostRecord, HostState
from sycamorecroft.store.interfaces import (
    HostList,
    HostRole,
    StorePurpose,
    TableService,
)


class NewHost(NamedTuple):
    """A host to register; ``address`` is ``ip:port``."""

    host: str
    address: str
    data_centre: str
    rack: str
    pool: str
    slots_count: int
    connections_count: int


class _Observation(NamedTuple):
    version: int
    first_seen_s: float


class PoolRegistry:
    """Executes host operations of one controller.

    Each operation is one transaction that checks the host row, the lease row and the
    budget rows of the pools concerned. All operations raise
    :class:`~sycamorecroft.errors.PlatformError` when the store doesn't answer and
    :class:`~sycamorecroft.errors.NotLeaseHolderError` when the lease is not held. They
    are idempotent and return the row if it is in the requested state already, except
    ``complete_move`` and ``cancel_move``, after which the row no longer shows what was
    requested.

    :param lease: lease of the controller that uses this registry.
    """

    def __init__(
        self,
        table: TableService,
        host_list: HostList,
        lease: ControllerLease,
        clock: Clock,
    ) -> None:
        self._table = table
        self._rows = HostRowStore(table, lease)
        self._host_list = host_list
        self._clock = clock
        self._observations: dict[str, _Observation] = {}

    def read_host(self, host: str) -> HostRow | None:
        """
        :returns: the host's row, or ``None`` when it isn't registered.
        """
        return self._rows.read(host)

    def read_budget(self, pool: str) -> BudgetRow | None:
        """
        :returns: the pool's budget row, or ``None`` when the pool is unknown.
        """
        return self._rows.read_budget(pool)

    def acknowledgements(self) -> Acknowledgements:
        """Reads the registrations of all entry hosts and the platform's host list."""
        rows = self._table.scan(ENTRIES_TABLE, purpose=StorePurpose.POOLS).rows
        registrations = tuple(decode_entry_host(row.value or b"") for row in rows)
        try:
            listing = self._host_list.list_hosts()
        except StoreUnavailableError:
            return Acknowledgements(registrations, None, None, self._clock.now())
        listed = frozenset(
            host.name for host in listing.hosts if host.role is HostRole.ENTRY
        )
        return Acknowledgements(registrations, listed, listing.as_of, self._clock.now())

    def clearance(self, row: HostRow, acknowledgements: Acknowledgements) -> Clearance:
        """
        :param acknowledgements: read after ``row``.
        :returns: which entry hosts may still send requests to the draining host.
        """
        now_s = self._clock.monotonic_s()
        observation = self._observe(row)
        draining = DrainingHost(
            row.record["host"], row.version, now_s - observation.first_seen_s
        )
        return evaluate_clearance(draining, acknowledgements)

    def ensure_pool(self, pool: str, max_unavailable_ratio: float) -> BudgetRow:
        """Creates the pool's budget row, or sets its ratio.

        :returns: the row as stored.
        """
        return self._rows.set_budget(pool, max_unavailable_ratio)

    def register_host(self, new_host: NewHost) -> HostRow:
        """
        :returns: the host's row, also when it was registered in this pool already.
        :raises PoolOperationError: when the host is registered in another pool, or
            the pool has no budget row.
        """
        row = self._rows.insert(_new_record(new_host))
        if row.record["pool"] != new_host.pool:
            message = (
                f"host {new_host.host!r} is registered in pool "
                f"{row.record['pool']!r}; move it to {new_host.pool!r} instead"
            )
            raise PoolOperationError(message)
        return row

    def remove_host(
        self, host: str, acknowledgements: Acknowledgements | None = None
    ) -> None:
        """Deletes the row of a failed host to which no entry host can send requests.

        :param acknowledgements: as for :meth:`complete_move`.
        :raises PoolOperationError: when the host's state isn't ``out``.
        :raises HostBlockedError: when an entry host may still send requests to it.
        :raises BudgetExceededError: when the hosts out for planned work exceed the
            budget of the smaller pool.
        """
        row = self.read_host(host)
        if row is None:
            return
        if row.record["state"] != HostState.OUT:
            message = (
                f"can't remove host {host!r}: its state is {row.record['state']!s}; "
                "take it out of service first"
            )
            raise PoolOperationError(message)
        self._require_clear(row, acknowledgements)
        self._rows.delete(row)

    def start_move(self, host: str, target_pool: str) -> HostRow:
        """Makes the host drain for a move to another pool.

        :raises PoolOperationError: when the host isn't active, or the pool has no
            budget row.
        :raises BudgetExceededError: when too many hosts of its pool are out of service.
        """
        if self.read_budget(target_pool) is None:
            message = (
                f"can't move host {host!r}: pool {target_pool!r} has no budget row; "
                "configure the pool first"
            )
            raise PoolOperationError(message)

        def change(before: HostRecord) -> HostRecord:
            if before["target_pool"] == target_pool:
                return before
            return transitions.start_move(before, target_pool)

        row = self._rows.change(host, change)
        self._observe(row)
        return row

    def complete_move(
        self, host: str, acknowledgements: Acknowledgements | None = None
    ) -> HostRow:
        """Assigns the draining host to its target pool.

        :param acknowledgements: read after the host was observed as draining; ``None``
            to read them now.
        :raises HostBlockedError: when an entry host may still send requests to it.
        :raises PoolOperationError: when the host isn't being moved.
        """
        row = self._rows.read_known(host)
        after = transitions.complete_move(row.record)
        self._require_clear(row, acknowledgements)
        return self._rows.change(
            host, lambda before: after, expected_version=row.version
        )

    def cancel_move(self, host: str) -> HostRow:
        """Makes a draining host active again in its present pool.

        :raises PoolOperationError: when the host isn't being moved.
        """
        return self._rows.change(host, transitions.cancel_move)

    def start_drain(
        self, host: str, maintenance_id: str, extra: ExtraWrite = NO_EXTRA_WRITE
    ) -> HostRow:
        """Makes the host drain for maintenance.

        :param maintenance_id: identifies the wave that the host drains for.
        :param extra: checks and puts added to the transaction.
        :raises PoolOperationError: when the host isn't active.
        :raises BudgetExceededError: when too many hosts of its pool are out of service.
        """

        def change(before: HostRecord) -> HostRecord:
            is_draining = before["state"] == HostState.DRAINING
            if is_draining and before["maintenance_id"] == maintenance_id:
                return before
            return transitions.start_drain(before, maintenance_id)

        row = self._rows.change(host, change, extra)
        self._observe(row)
        return row

    def mark_drained(
        self, host: str, acknowledgements: Acknowledgements | None = None
    ) -> HostRow:
        """Records that the host is drained and may be rebooted.

        :param acknowledgements: as for :meth:`complete_move`.
        :raises HostBlockedError: when an entry host may still send requests to it.
        :raises PoolOperationError: when the host isn't draining for maintenance.
        """
        row = self._rows.read_known(host)
        if row.record["state"] == HostState.DRAINED:
            return row
        after = transitions.mark_drained(row.record)
        self._require_clear(row, acknowledgements)
        return self._rows.change(
            host, lambda before: after, expected_version=row.version
        )

    def reboot(self, host: str) -> HostRow:
        """Records that the host reboots; the caller then has the platform reboot it.

        :raises PoolOperationError: when the host isn't drained.
        """

        def change(before: HostRecord) -> HostRecord:
            if before["state"] == HostState.REBOOTING:
                return before
            return transitions.reboot(before)

        return self._rows.change(host, change)

    def return_to_service(
        self, host: str, extra: ExtraWrite = NO_EXTRA_WRITE
    ) -> HostRow:
        """Makes a drained, rebooting or failed host active again.

        :param extra: checks and puts added to the transaction.
        :raises PoolOperationError: when the host is draining.
        """

        def change(before: HostRecord) -> HostRecord:
            if before["state"] == HostState.ACTIVE:
                return before
            return transitions.return_to_service(before)

        return self._rows.change(host, change, extra)

    def take_out_of_service(
        self, host: str, extra: ExtraWrite = NO_EXTRA_WRITE
    ) -> HostRow:
        """Records that the host failed; it then counts against its pool's budget.

        :param extra: checks and puts added to the transaction.
        """

        def change(before: HostRecord) -> HostRecord:
            if before["state"] == HostState.OUT:
                return before
            return transitions.take_out_of_service(before)

        row = self._rows.change(host, change, extra)
        self._observe(row)
        return row

    def _require_clear(
        self, row: HostRow, acknowledgements: Acknowledgements | None
    ) -> None:
        clearance = self.clearance(row, acknowledgements or self.acknowledgements())
        if not clearance.is_clear:
            reasons = "; ".join(
                f"{item.entry or 'controller'}: {item.reason} ({item.detail})"
                for item in clearance.blockers
            )
            message = f"host {row.record['host']!r} is blocked by {reasons}"
            raise HostBlockedError(message, clearance.blockers)

    def _observe(self, row: HostRow) -> _Observation:
        host = row.record["host"]
        known = self._observations.get(host)
        if known is None or known.version != row.version:
            known = _Observation(row.version, self._clock.monotonic_s())
            self._observations[host] = known
        return known


def _new_record(new_host: NewHost) -> HostRecord:
    return HostRecord(
        host=new_host.host,
        address=new_host.address,
        data_centre=new_host.data_centre,
        rack=new_host.rack,
        pool=new_host.pool,
        state=HostState.ACTIVE,
        epoch=1,
        slots_count=new_host.slots_count,
        connections_count=new_host.connections_count,
        target_pool=None,
        maintenance_id=None,
    )
