"""Claims services that have no live owner and releases them at a planned stop."""

from collections.abc import Iterable
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import PlatformError, RecordError, StoreConflictError
from sycamorecroft.ownership.capacity import EntryHostLoad
from sycamorecroft.ownership.committer import ServiceClaim
from sycamorecroft.ownership.confirmations import ClaimConfirmations
from sycamorecroft.ownership.heartbeats import EntryHost, HeartbeatExchange
from sycamorecroft.ownership.hosts import (
    IDLE_INTERVAL_S,
    IDLE_TIMEOUT_S,
    OWNER_INTERVAL_S,
    OWNER_TIMEOUT_S,
)
from sycamorecroft.ownership.rows import (
    COMMITS_TABLE,
    OWNERS_TABLE,
    ROW_KEY,
    CommitsRow,
    OwnerRow,
)
from sycamorecroft.ownership.selection import HandoverTimer, preferred_entry_host
from sycamorecroft.scheduling.rows import decode_row, encode_row
from sycamorecroft.store.interfaces import (
    Check,
    PartitionedTableService,
    Put,
    Row,
    StorePurpose,
)

_log = structlog.get_logger(__name__)

# After its start an entry host waits this long for others to start, so that services
# spread over all of them.
JOIN_DELAY_S = 0.5
# Any entry host may claim a service that its preferred one hasn't claimed after this.
PREFERRED_CLAIM_TIMEOUT_S = 1.5


class OwnershipRecord(NamedTuple):
    """Owner of a service as stored; ``seen_s`` is the monotonic time of the read."""

    row: OwnerRow
    version: int
    seen_s: float


class ClaimedService(NamedTuple):
    """A service that this entry host has claimed.

    ``former_lease_end_s``: monotonic time by which all leases of former owners have
    expired.
    """

    claim: ServiceClaim
    former_lease_end_s: float


class Ownership:
    """Claims and releases services for one entry host. Not thread-safe.

    ``owners`` holds the latest known owner of each service, ``owned`` the services that
    this entry host owns.
    """

    def __init__(
        self,
        tables: PartitionedTableService,
        clock: Clock,
        entry_host: EntryHost,
        unconfirmed_limit_s: float,
        confirmations: ClaimConfirmations,
    ) -> None:
        """
        :param entry_host: the own entry host.
        :param unconfirmed_limit_s: an owner grants no lease that ends later than this
            time in seconds after the last confirmation of its ownership.
        :param confirmations: receives when claims were known to hold.
        """
        self._tables = tables
        self._clock = clock
        self._entry_host = entry_host.name
        self._incarnation = entry_host.incarnation
        self._unconfirmed_limit_s = unconfirmed_limit_s
        self._confirmations = confirmations
        self._heartbeats = HeartbeatExchange(tables, clock, entry_host)
        self._entry_hosts = self._heartbeats.entry_hosts
        self._handover_timer = HandoverTimer()
        self._started_s: float | None = None
        self._unowned_since_s: dict[str, float] = {}
        self.owners: dict[str, OwnershipRecord] = {}
        self.owned: dict[str, ClaimedService] = {}

    @property
    def heartbeat_interval_s(self) -> float:
        """Time in seconds from one heartbeat to the next.

        An entry host that waits for others to start, or for a service to be claimed,
        reads heartbeats as often as an owner.
        """
        is_short = self.owned or self.is_joining or self._unowned_since_s
        return OWNER_INTERVAL_S if is_short else IDLE_INTERVAL_S

    def send_heartbeat(self) -> None:
        """Writes the heartbeat of this entry host and reads those of the others.

        :raises PlatformError: when the store can't be reached.
        """
        self._heartbeats.exchange(OWNER_TIMEOUT_S if self.owned else IDLE_TIMEOUT_S)
        if self._started_s is None:
            self._started_s = self._clock.monotonic_s()

    def withdraw(self) -> None:
        """Announces with a last heartbeat that this entry host stops.

        :raises PlatformError: when the store can't be reached.
        """
        self._heartbeats.exchange(0.0)

    def apply_owner_rows(self, rows: Iterable[Row]) -> None:
        """Applies rows of owners, which come in the order of their versions."""
        for row in rows:
            if row.key != ROW_KEY:
                continue
            current = self.owners.get(row.part)
            if row.value is None or (current and current.version >= row.version):
                continue
            try:
                decoded = decode_row(row.value, OwnerRow)
            except RecordError as error:
                _log.error("owner_row_malformed", error=str(error))
                continue
            self.owners[row.part] = OwnershipRecord(
                decoded, row.version, self._clock.monotonic_s()
            )

    def remove_lost_services(self) -> list[str]:
        """Removes services that another entry host has claimed.

        :returns: names of the services removed.
        """
        lost = [
            service
            for service, claimed in self.owned.items()
            if self.owners[service].version > claimed.claim.owner_version
        ]
        for service in lost:
            self.remove(service)
        return lost

    def remove(self, service: str) -> ClaimedService | None:
        """Removes a service whose claim has ended, so that no lease is granted.

        :returns: the service, ``None`` if it isn't owned.
        """
        claimed = self.owned.pop(service, None)
        if claimed is not None:
            self._confirmations.forget(claimed.claim)
        return claimed

    def confirm_claims(self, sent_s: float) -> None:
        """Records that claims hold whose rows a read of the owners' rows has shown.

        :param sent_s: monotonic time at which the read, whose rows were applied, was
            sent.
        """
        for service, claimed in self.owned.items():
            if self.owners[service].version == claimed.claim.owner_version:
                self._confirmations.record(claimed.claim, sent_s)

    @property
    def is_joining(self) -> bool:
        """Whether this entry host still waits for others before it claims services."""
        if self._started_s is None:
            return True
        return self._clock.monotonic_s() - self._started_s < JOIN_DELAY_S

    def claim_unowned_services(self, services: Iterable[str]) -> list[ClaimedService]:
        """Claims services without a live owner that this entry host should own.

        That is each service for which it is the preferred one, and each that has had
        no owner for longer than :data:`PREFERRED_CLAIM_TIMEOUT_S`.

        :param services: all services of the configuration.
        :returns: services that this entry host has claimed.
        """
        now_s = self._clock.monotonic_s()
        if self.is_joining:
            return []
        live = self._entry_hosts.live_entry_hosts()
        unowned = [name for name in sorted(services) if self._is_unowned(name, live)]
        self._unowned_since_s = {
            name: self._unowned_since_s.get(name, now_s) for name in unowned
        }
        loads = self._loads(live)
        claimed: list[ClaimedService] = []
        for service in unowned:
            preferred = (
                preferred_entry_host(service, loads) if loads else self._entry_host
            )
            if preferred in loads:
                loads[preferred] = loads[preferred].with_another_service()
            is_preference_expired = (
                now_s - self._unowned_since_s[service] > PREFERRED_CLAIM_TIMEOUT_S
            )
            if preferred == self._entry_host or is_preference_expired:
                result = self._claim(service, now_s)
                if result is not None:
                    claimed.append(result)
            else:
                self._revoke(service)
        return claimed

    def service_to_hand_over(self) -> str | None:
        """
        :returns: an owned service that an entry host with much more capacity to spare
            should own, if there has been such an entry host for some seconds; else
            ``None``.
        """
        # Services without an owner come first.
        is_settled = self.owned and not self._unowned_since_s
        live = self._entry_hosts.live_entry_hosts() if is_settled else []
        now_s = self._clock.monotonic_s()
        if self._handover_timer.is_due(self._entry_host, self._loads(live), now_s):
            return min(self.owned)
        return None

    def _revoke(self, service: str) -> None:
        """Stores that a suspected entry host no longer owns a service.

        Entry hosts that own nothing read heartbeats less often than owners do and may
        not suspect the owner yet; the stored row notifies them.
        """
        current = self.owners.get(service)
        if (
            current is None
            or not current.row.entry_host
            or current.row.entry_host == self._entry_host
        ):
            return
        former = current.row
        row = OwnerRow("", former.incarnation, former.epoch, former.entry_host, True)
        check = Check(OWNERS_TABLE, ROW_KEY, current.version, service)
        put = Put(OWNERS_TABLE, ROW_KEY, encode_row(row), service)
        try:
            version = self._tables.transact(
                (check,), (put,), purpose=StorePurpose.LEASES
            )
        except StoreConflictError as error:
            self.apply_owner_rows(error.rows)
            return
        except PlatformError as error:
            _log.info("service_revocation_failed", service=service, reason=str(error))
            return
        self.owners[service] = OwnershipRecord(row, version, self._clock.monotonic_s())
        _log.info(
            "service_taken_away",
            service=service,
            epoch=former.epoch,
            former_host=former.entry_host,
        )

    def _is_unowned(self, service: str, live: list[str]) -> bool:
        if service in self.owned:
            return False
        current = self.owners.get(service)
        if current is None or not current.row.entry_host:
            return True
        if current.row.entry_host == self._entry_host:
            # The answer to a claim of this process was lost, or the claim is that of an
            # earlier incarnation.
            return True
        return self._is_owner_failed(current, live)

    def _is_owner_failed(self, current: OwnershipRecord, live: list[str]) -> bool:
        owner = current.row
        observation = self._entry_hosts.find(owner.entry_host)
        if observation is None or observation.version < current.version:
            # No heartbeat of the owner was read since its claim.
            unseen_s = self._clock.monotonic_s() - current.seen_s
            return unseen_s > IDLE_TIMEOUT_S and owner.entry_host not in live
        if observation.row.incarnation != owner.incarnation:
            return True
        return owner.entry_host not in live

    def _loads(self, live: list[str]) -> dict[str, EntryHostLoad]:
        return self._heartbeats.capacities.loads(self._count_owned(live))

    def _count_owned(self, live: list[str]) -> dict[str, int]:
        stopping = {
            record.row.released_by
            for record in self.owners.values()
            if self._is_former_process_running(record.row)
        }
        owned_counts = {name: 0 for name in live if name not in stopping}
        for record in self.owners.values():
            if record.row.entry_host in owned_counts:
                owned_counts[record.row.entry_host] += 1
        return owned_counts

    def _is_former_process_running(self, row: OwnerRow) -> bool:
        """
        :param row: row of a service that was released or revoked.
        :returns: whether the former owner is known and hasn't restarted since.
        """
        observation = (
            self._entry_hosts.find(row.released_by) if row.released_by else None
        )
        return (
            observation is not None and observation.row.incarnation == row.incarnation
        )

    def _claim(self, service: str, now_s: float) -> ClaimedService | None:
        current = self.owners.get(service)
        epoch = current.row.epoch + 1 if current else 1
        row = OwnerRow(self._entry_host, self._incarnation, epoch)
        version = current.version if current else None
        check = Check(OWNERS_TABLE, ROW_KEY, version, service)
        put = Put(OWNERS_TABLE, ROW_KEY, encode_row(row), service)
        try:
            claimed_version = self._tables.transact(
                (check,), (put,), purpose=StorePurpose.LEASES
            )
            return self._complete_claim(
                service, OwnershipRecord(row, claimed_version, now_s), current, now_s
            )
        except StoreConflictError as error:
            self.apply_owner_rows(error.rows)
            return None
        except PlatformError as error:
            _log.warning("claim_failed", service=service, error=str(error))
            return None

    def _complete_claim(
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
        count = _commits_count(row.value) if row else 0
        claim = ServiceClaim(
            service,
            record.row.epoch,
            record.version,
            row.version if row else None,
            count,
        )
        claimed = ClaimedService(claim, self._former_lease_end_s(former))
        self._confirmations.add(claim, now_s)
        self.owned[service] = claimed
        _log.info(
            "service_claimed",
            service=service,
            epoch=record.row.epoch,
            former_host=former.row.entry_host if former else None,
            former_lease_end_in_s=round(claimed.former_lease_end_s - now_s, 3),
        )
        return claimed

    def _former_lease_end_s(self, former: OwnershipRecord | None) -> float:
        """Returns when all leases have ended that former owners can have granted.

        An owner's ownership is last confirmed before its row changes, be it by a
        heartbeat or by a commit, and whether this entry host has read that or not.
        Since this holds for each owner, those before the last one are included.
        """
        now_s = self._clock.monotonic_s()
        if former is None:
            return now_s
        is_ended = not former.row.entry_host
        ended_s = former.seen_s if is_ended else now_s
        return max(now_s, ended_s + self._unconfirmed_limit_s)

    def release(self, service: str) -> None:
        """Releases a service so that another entry host can claim it at once."""
        claimed = self.remove(service)
        if claimed is None:
            return
        claim = claimed.claim
        check = Check(OWNERS_TABLE, ROW_KEY, claim.owner_version, service)
        row = OwnerRow("", self._incarnation, claim.epoch, self._entry_host)
        put = Put(OWNERS_TABLE, ROW_KEY, encode_row(row), service)
        try:
            self._tables.transact((check,), (put,), purpose=StorePurpose.LEASES)
        except PlatformError as error:
            _log.warning("release_failed", service=service, error=str(error))
            return
        _log.info("service_released", service=service, epoch=claim.epoch)


def _commits_count(value: bytes) -> int:
    """Returns 0 if the row is malformed; each commit's row is unique by its epoch."""
    try:
        return decode_row(value, CommitsRow).commits_count
    except RecordError as error:
        _log.error("commits_row_malformed", error=str(error))
        return 0
