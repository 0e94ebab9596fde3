"""Operator calls that declare, read and change maintenance waves."""

from collections.abc import Mapping
from datetime import datetime
from typing import NamedTuple

from sycamorecroft.clock import Clock
from sycamorecroft.errors import MaintenanceError, StoreConflictError
from sycamorecroft.leases.transactions import transact_resolved
from sycamorecroft.maintenance.records import (
    MAINTENANCE_TABLE,
    PROGRESS_PREFIX,
    WAVE_PREFIX,
    HostOutcome,
    Selection,
    SelectionKind,
    WaveRecord,
    WaveRow,
    WaveState,
    decode_progress,
    decode_wave,
    encode_record,
    wave_id_of,
    wave_key,
)
from sycamorecroft.pools.records import HOSTS_TABLE, decode_host
from sycamorecroft.pools.state import HostRecord, HostState
from sycamorecroft.store.interfaces import Check, Put, StorePurpose, TableService

CONFLICT_ATTEMPTS_COUNT = 3
_PURPOSE = StorePurpose.OPERATORS

_ALLOWED_PREVIOUS_STATES: Mapping[WaveState, frozenset[WaveState]] = {
    WaveState.PAUSED: frozenset({WaveState.RUNNING, WaveState.PAUSED}),
    WaveState.RUNNING: frozenset({WaveState.RUNNING, WaveState.PAUSED}),
    WaveState.CANCELLED: frozenset(
        {WaveState.RUNNING, WaveState.PAUSED, WaveState.CANCELLED}
    ),
}


class WaveProgress(NamedTuple):
    """A wave and its outcomes by host, for the hosts for which it has ended."""

    wave: WaveRow
    outcomes: Mapping[str, HostOutcome]

    @property
    def remaining_hosts(self) -> tuple[str, ...]:
        """Hosts for which the wave has not ended."""
        hosts = self.wave.record["hosts"]
        return tuple(host for host in hosts if host not in self.outcomes)


class WaveStore:
    """Stores waves and changes their state, on any daemon.

    All methods raise :class:`~sycamorecroft.errors.PlatformError` when the store
    doesn't respond, and may then be repeated.
    """

    def __init__(self, table: TableService, clock: Clock) -> None:
        self._table = table
        self._clock = clock

    def declare(
        self, idempotency_key: str, selection: Selection, deadline: datetime
    ) -> WaveRow:
        """Declares a wave. Idempotent: repeating it with the same key has no effect.

        :returns: the wave with this key.
        :raises MaintenanceError: when the selection has no names or an unknown one,
            the deadline has no offset from UTC, or the key was used for a different
            declaration.
        """
        wave_id = wave_id_of(idempotency_key)
        existing = self._find(wave_id)
        if existing is not None:
            return _require_same_declaration(existing, selection, deadline)
        record = self._new_record(wave_id, selection, deadline)
        key = wave_key(wave_id)
        put = Put(MAINTENANCE_TABLE, key, encode_record(record))
        check = Check(MAINTENANCE_TABLE, key, None)
        try:
            version = transact_resolved(self._table, [check], [put], purpose=_PURPOSE)
        except StoreConflictError:
            return _require_same_declaration(self.read(wave_id), selection, deadline)
        return WaveRow(record, version)

    def pause(self, wave_id: str) -> WaveRow:
        """Pauses the wave: no new drain starts, drains already started finish.

        :returns: the paused wave.
        :raises MaintenanceError: when the wave is unknown or has ended.
        """
        return self._set_state(wave_id, WaveState.PAUSED)

    def resume(self, wave_id: str) -> WaveRow:
        """
        :returns: the running wave.
        :raises MaintenanceError: when the wave is unknown or has ended.
        """
        return self._set_state(wave_id, WaveState.RUNNING)

    def cancel(self, wave_id: str) -> WaveRow:
        """Cancels the wave: no new drain starts, drains already started finish.

        :returns: the cancelled wave.
        :raises MaintenanceError: when the wave is unknown or has finished.
        """
        return self._set_state(wave_id, WaveState.CANCELLED)

    def read(self, wave_id: str) -> WaveRow:
        """
        :returns: the wave as stored.
        :raises MaintenanceError: when the wave is unknown.
        """
        row = self._find(wave_id)
        if row is None:
            message = f"maintenance wave {wave_id!r} is unknown; list the waves"
            raise MaintenanceError(message)
        return row

    def waves(self) -> tuple[WaveRow, ...]:
        """
        :returns: all waves, including ended ones, ordered by deadline.
        """
        scan = self._table.scan(MAINTENANCE_TABLE, purpose=_PURPOSE, prefix=WAVE_PREFIX)
        waves = [decode_wave(row) for row in scan.rows]
        return tuple(sorted(waves, key=lambda wave: wave.record["deadline"]))

    def progress(self, wave_id: str) -> WaveProgress:
        """
        :returns: the wave with its outcomes so far.
        :raises MaintenanceError: when the wave is unknown.
        """
        wave = self.read(wave_id)
        prefix = f"{PROGRESS_PREFIX}{wave_id}/"
        scan = self._table.scan(MAINTENANCE_TABLE, purpose=_PURPOSE, prefix=prefix)
        records = [decode_progress(row) for row in scan.rows]
        return WaveProgress(wave, {item["host"]: item["outcome"] for item in records})

    def _find(self, wave_id: str) -> WaveRow | None:
        row = self._table.read(MAINTENANCE_TABLE, wave_key(wave_id), purpose=_PURPOSE)
        return None if row is None else decode_wave(row)

    def _new_record(
        self, wave_id: str, selection: Selection, deadline: datetime
    ) -> WaveRecord:
        if deadline.tzinfo is None:
            message = f"deadline {deadline.isoformat()} has no offset from UTC; add one"
            raise MaintenanceError(message)
        hosts = self._selected_hosts(selection)
        return WaveRecord(
            id=wave_id,
            selection_kind=selection.kind,
            selection_names=list(selection.names),
            hosts=[host["host"] for host in hosts],
            deadline=deadline.isoformat(),
            declared_at=self._clock.now().isoformat(),
            rebooting_hosts=[
                host["host"] for host in hosts if host["state"] == HostState.REBOOTING
            ],
            state=WaveState.RUNNING,
        )

    def _selected_hosts(self, selection: Selection) -> list[HostRecord]:
        scan = self._table.scan(HOSTS_TABLE, purpose=_PURPOSE)
        hosts = [decode_host(row.value or b"") for row in scan.rows]
        field = _SELECTION_FIELDS[selection.kind]
        names = frozenset(selection.names)
        unknown = names - {host[field] for host in hosts}
        if unknown or not names:
            message = (
                f"the maintenance selection has {selection.kind.value} "
                f"{', '.join(sorted(unknown)) or 'without a name'}, which matches no "
                "registered host; list the hosts"
            )
            raise MaintenanceError(message)
        return [host for host in hosts if host[field] in names]

    def _set_state(self, wave_id: str, state: WaveState) -> WaveRow:
        for _ in range(CONFLICT_ATTEMPTS_COUNT):
            wave = self.read(wave_id)
            if wave.record["state"] not in _ALLOWED_PREVIOUS_STATES[state]:
                message = (
                    f"maintenance wave {wave_id!r} is {wave.record['state'].value} and "
                    f"can't be set to {state.value}; declare a new one"
                )
                raise MaintenanceError(message)
            if wave.record["state"] == state:
                return wave
            try:
                return self._write_state(wave, state)
            except StoreConflictError:
                continue
        message = (
            f"maintenance wave {wave_id!r} is being changed by other calls; try again"
        )
        raise StoreConflictError(message)

    def _write_state(self, wave: WaveRow, state: WaveState) -> WaveRow:
        record = wave.record.copy()
        record["state"] = state
        key = wave_key(record["id"])
        check = Check(MAINTENANCE_TABLE, key, wave.version)
        put = Put(MAINTENANCE_TABLE, key, encode_record(record))
        version = transact_resolved(self._table, [check], [put], purpose=_PURPOSE)
        return WaveRow(record, version)


_SELECTION_FIELDS: Mapping[SelectionKind, str] = {
    SelectionKind.RACK: "rack",
    SelectionKind.POOL: "pool",
    SelectionKind.HOSTS: "host",
}


def _require_same_declaration(
    wave: WaveRow, selection: Selection, deadline: datetime
) -> WaveRow:
    record = wave.record
    declared = Selection(record["selection_kind"], tuple(record["selection_names"]))
    if declared != selection or datetime.fromisoformat(record["deadline"]) != deadline:
        message = (
            f"the idempotency key belongs to maintenance wave {record['id']!r} of "
            f"{declared.kind.value} {', '.join(declared.names)} with deadline "
            f"{record['deadline']}; use another key"
        )
        raise MaintenanceError(message)
    return wave
