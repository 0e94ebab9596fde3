"""Claims services whose owner is gone, and gives up its own at a planned stop."""

import hashlib
from collections.abc import Callable, Iterable
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import (
    PlatformError,
    RecordError,
    StoreConflictError,
    StoreHistoryLostError,
)
from sycamorecroft.ownership.committer import ServiceClaim
from sycamorecroft.ownership.entry_hosts import (
    HOST_INTERVAL_S,
    HOST_TIMEOUT_S,
    ENTRY_HOSTS_TABLE,
    OWNER_INTERVAL_S,
    OWNER_TIMEOUT_S,
    EntryHostRow,
    EntryHostTable,
)
from sycamorecroft.ownership.rows import (
    COMMITS_TABLE,
    OWNERS_TABLE,
    ROW_KEY,
    CommitsRow,
    OwnerRow,
)
from sycamorecroft.scheduling.rows import decode_row, encode_row
from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    Row,
    Scan,
    StorePurpose,
)
from sycamorecroft.store.table_part import read_all_parts

_log = structlog.get_logger(__name__)

# After its start a host waits this long for the others, so that services spread.
JOIN_DELAY_S = 0.5
# A service that its preferred host leaves alone for this long is claimed by any.
PREFERENCE_S = 1.5


class OwnershipTimes(NamedTuple):
    """Times that bound what a former owner may still do.

    ``lease_s``: how long workers run without being reached. ``unconfirmed_s``: an
    owner gives no lease that ends later than this after it last reached the store.
    """

    lease_s: float
    unconfirmed_s: float


class OwnershipRecord(NamedTuple):
    """An owner's row as it was read; ``seen_s`` is when."""

    row: OwnerRow
    version: int
    seen_s: float


class ClaimedService(NamedTuple):
    """A service that this host has come to own.

    ``former_lease_end_s``: time by which leases of former owners have ended.
    """

    claim: ServiceClaim
    former_lease_end_s: float


class Ownership:
    """Ownership of services as this host knows it. Used by one thread."""

    def __init__(
        self,
        tables: PartitionedTableService,
        clock: Clock,
        host: str,
        incarnation: str,
        times: OwnershipTimes,
        confirm: Callable[[float], None],
    ) -> None:
        self._tables = tables
        self._clock = clock
        self._host = host
        self._incarnation = incarnation
        self._times = times
        self._confirm = confirm
        self._hosts = EntryHostTable()
        self._heartbeats_count = 0
        self._hosts_version: int | None = None
        self._started_s: float | None = None
        self._store_time_ms = 0
        self._store_time_read_s = 0.0
        self._orphaned_s: dict[str, float] = {}
        self.owners: dict[str, OwnershipRecord] = {}
        self.owned: dict[str, ClaimedService] = {}

    @property
    def heartbeat_interval_s(self) -> float:
        """Time from one heartbeat to the next.

        A host that waits for others, or for a service to be claimed, looks as often as
        an owner does.
        """
        is_watching = self.owned or self.is_joining or self._orphaned_s
        return OWNER_INTERVAL_S if is_watching else HOST_INTERVAL_S

    def send_heartbeat(self) -> None:
        """Renews this host's row and reads those of the others.

        :raises PlatformError: when the store can't be reached.
        """
        begun_s = self._clock.monotonic_s()
        if self._hosts_version is None:
            self._read_hosts(begun_s)
        self._renew()
        self._read_hosts(begun_s)
        if self._started_s is None:
            self._started_s = self._clock.monotonic_s()

    def _renew(self) -> None:
        sent_s = self._clock.monotonic_s()
        self._heartbeats_count += 1
        elapsed_ms = int((sent_s - self._store_time_read_s) * 1000)
        timeout_s = OWNER_TIMEOUT_S if self.owned else HOST_TIMEOUT_S
        row = EntryHostRow(
            self._incarnation,
            self._heartbeats_count,
            self._store_time_ms + elapsed_ms,
            int(timeout_s * 1000),
        )
        put = Put(ENTRY_HOSTS_TABLE, self._host, encode_row(row), self._host)
        self._tables.transact((), (put,), purpose=StorePurpose.REGISTRATION)
        self._confirm(sent_s)

    def _read_hosts(self, begun_s: float) -> None:
        scan = self._scan_hosts()
        now_s = self._clock.monotonic_s()
        self._hosts_version = scan.version
        self._store_time_ms = scan.store_time_ms
        self._store_time_read_s = now_s
        self._hosts.apply(scan, now_s, now_s - begun_s)

    def _scan_hosts(self) -> Scan:
        if self._hosts_version is not None:
            try:
                return self._tables.changes(
                    ENTRY_HOSTS_TABLE, after_version=self._hosts_version, wait_s=0.0
                )
            except StoreHistoryLostError as error:
                _log.info("history_lost", table=ENTRY_HOSTS_TABLE, reason=str(error))
        return read_all_parts(
            self._tables, ENTRY_HOSTS_TABLE, purpose=StorePurpose.REGISTRATION
        )

    def apply_owner_rows(self, rows: Iterable[Row]) -> None:
        """Takes in owners' rows in the order of their versions."""
        for row in rows:
            if row.key != ROW_KEY:
                continue
            known = self.owners.get(row.part)
            if row.value is None or (known and known.version >= row.version):
                continue
            try:
                decoded = decode_row(row.value, OwnerRow)
            except RecordError as error:
                _log.error("owner_row_not_understood", error=str(error))
                continue
            self.owners[row.part] = OwnershipRecord(
                decoded, row.version, self._clock.monotonic_s()
            )

    def lost_services(self) -> list[str]:
        """
        :returns: services that this host owned and that another host has claimed.
        """
        lost = [
            service
            for service, claimed in self.owned.items()
            if self.owners[service].version > claimed.claim.owner_version
        ]
        for service in lost:
            del self.owned[service]
        return lost

    @property
    def is_joining(self) -> bool:
        """Whether this host still waits for others before it claims services."""
        if self._started_s is None:
            return True
        return self._clock.monotonic_s() - self._started_s < JOIN_DELAY_S

    def claim_unowned_services(self, services: Iterable[str]) -> list[ClaimedService]:
        """Claims services without a live owner that fall to this host.

        :param services: all services of the configuration.
        :returns: services that this host owns from now on.
        """
        now_s = self._clock.monotonic_s()
        if self.is_joining:
            return []
        live = self._hosts.live_hosts()
        orphans = [name for name in sorted(services) if self._is_orphan(name, live)]
        self._orphaned_s = {name: self._orphaned_s.get(name, now_s) for name in orphans}
        loads = self._loads(live)
        claimed: list[ClaimedService] = []
        for service in orphans:
            preferred = _preferred_host(service, loads) if loads else self._host
            loads[preferred] = loads.get(preferred, 0) + 1
            is_left_alone = now_s - self._orphaned_s[service] > PREFERENCE_S
            if preferred == self._host or is_left_alone:
                result = self._claim(service, now_s)
                if result is not None:
                    claimed.append(result)
            else:
                self._take_away(service)
        return claimed

    def _take_away(self, service: str) -> None:
        """Tells all hosts that a service has no owner, which they may not have seen.

        Owners look at each other more often than other hosts do.
        """
        known = self.owners.get(service)
        if known is None or not known.row.host or known.row.host == self._host:
            return
        former = known.row
        row = OwnerRow("", former.incarnation, former.epoch, former.host, True)
        check = Check(OWNERS_TABLE, ROW_KEY, known.version, service)
        put = Put(OWNERS_TABLE, ROW_KEY, encode_row(row), service)
        try:
            version = self._tables.transact(
                (check,), (put,), purpose=StorePurpose.LEASES
            )
        except StoreConflictError as error:
            self.apply_owner_rows(error.rows)
            return
        except PlatformError as error:
            _log.info("service_not_taken_away", service=service, reason=str(error))
            return
        self.owners[service] = OwnershipRecord(row, version, self._clock.monotonic_s())
        _log.info(
            "service_taken_away",
            service=service,
            epoch=former.epoch,
            former_host=former.host,
        )

    def _is_orphan(self, service: str, live: list[str]) -> bool:
        if service in self.owned:
            return False
        known = self.owners.get(service)
        if known is None or not known.row.host:
            return True
        if known.row.host == self._host:
            # A claim of ours whose answer was lost, or one of a former process.
            return True
        return self._is_owner_gone(known, live)

    def _is_owner_gone(self, known: OwnershipRecord, live: list[str]) -> bool:
        owner = known.row
        sighting = self._hosts.find(owner.host)
        if sighting is None or sighting.version < known.version:
            # The owner's heartbeat is not read yet, or was before its claim.
            silent_s = self._clock.monotonic_s() - known.seen_s
            return silent_s > HOST_TIMEOUT_S and owner.host not in live
        if sighting.row.incarnation != owner.incarnation:
            return True
        return owner.host not in live

    def _loads(self, live: list[str]) -> dict[str, int]:
        leaving = {
            record.row.released_by
            for record in self.owners.values()
            if self._is_same_process(record.row)
        }
        loads = {host: 0 for host in live if host not in leaving}
        for record in self.owners.values():
            if record.row.host in loads:
                loads[record.row.host] += 1
        return loads

    def _is_same_process(self, row: OwnerRow) -> bool:
        """Checks that the host that gave a service up hasn't started again since."""
        sighting = self._hosts.find(row.released_by) if row.released_by else None
        return sighting is not None and sighting.row.incarnation == row.incarnation

    def _claim(self, service: str, now_s: float) -> ClaimedService | None:
        known = self.owners.get(service)
        epoch = known.row.epoch + 1 if known else 1
        row = OwnerRow(self._host, self._incarnation, epoch)
        version = known.version if known else None
        check = Check(OWNERS_TABLE, ROW_KEY, version, service)
        put = Put(OWNERS_TABLE, ROW_KEY, encode_row(row), service)
        try:
            written = self._tables.transact(
                (check,), (put,), purpose=StorePurpose.LEASES
            )
            return self._begin(
                service, OwnershipRecord(row, written, now_s), known, now_s
            )
        except StoreConflictError as error:
            self.apply_owner_rows(error.rows)
            return None
        except PlatformError as error:
            _log.warning("claim_failed", service=service, error=str(error))
            return None

    def _begin(
        self,
        service: str,
        record: OwnershipRecord,
        former: OwnershipRecord | None,
        now_s: float,
    ) -> ClaimedService:
        self.owners[service] = record
        commits = self._tables.scan_part(
            COMMITS_TABLE, service, purpose=StorePurpose.LEASES
        )
        row = commits.rows[0] if commits.rows else None
        count = decode_row(row.value, CommitsRow).commits_count if row else 0
        claim = ServiceClaim(
            service,
            record.row.epoch,
            record.version,
            row.version if row else None,
            count,
        )
        claimed = ClaimedService(claim, self._former_lease_end_s(former, now_s))
        self.owned[service] = claimed
        _log.info(
            "service_claimed",
            service=service,
            epoch=record.row.epoch,
            former_host=former.row.host if former else None,
            former_lease_end_in_s=round(claimed.former_lease_end_s - now_s, 3),
        )
        return claimed

    def _former_lease_end_s(
        self, former: OwnershipRecord | None, now_s: float
    ) -> float:
        if former is None:
            return now_s
        restarted_end_s = now_s + self._times.lease_s
        host = former.row.host
        if former.row.is_forced:
            host = former.row.released_by
        sighting = self._hosts.find(host) if host else None
        if sighting is None or sighting.row.incarnation != former.row.incarnation:
            return restarted_end_s
        return max(now_s, sighting.written_s + self._times.unconfirmed_s)

    def release(self, service: str) -> None:
        """Gives a service up so that another host claims it at once."""
        claimed = self.owned.pop(service, None)
        if claimed is None:
            return
        claim = claimed.claim
        check = Check(OWNERS_TABLE, ROW_KEY, claim.owner_version, service)
        row = OwnerRow("", self._incarnation, claim.epoch, self._host)
        put = Put(OWNERS_TABLE, ROW_KEY, encode_row(row), service)
        try:
            self._tables.transact((check,), (put,), purpose=StorePurpose.LEASES)
        except PlatformError as error:
            _log.warning("release_failed", service=service, error=str(error))
            return
        _log.info("service_released", service=service, epoch=claim.epoch)


def _preferred_host(service: str, loads: dict[str, int]) -> str:
    """Source of the tie-break: rendezvous hashing, Thaler and Ravishankar, 1998."""

    def rank(host: str) -> tuple[int, bytes]:
        text = f"{service}/{host}".encode()
        return (loads[host], hashlib.blake2b(text, digest_size=8).digest())

    return min(loads, key=rank)
