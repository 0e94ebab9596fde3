"""Cache of the configuration in force."""

import threading
from collections.abc import Callable

import structlog

from sycamorecroft.concurrency import PublishedValue
from sycamorecroft.errors import RecordError
from sycamorecroft.platform import decode_fleet
from sycamorecroft.platform.names import CONFIGURATION_KEY
from sycamorecroft.scheduling.model import FleetSnapshot
from sycamorecroft.serving.account_keys import AccountKeys
from sycamorecroft.serving.router import Router
from sycamorecroft.store.interfaces import Row

_log = structlog.get_logger(__name__)


class ConfigurationCache:
    """Configuration in force, whose version only rises. Thread-safe.

    Rows come from the feed and from look-ups, so that a thread may bring a row that is
    older than what another one has applied.

    :param on_change: called after each change of the configuration in force.
    """

    def __init__(self, on_change: Callable[[], object]) -> None:
        self._on_change = on_change
        self._lock = threading.Lock()
        self._router: PublishedValue[Router | None] = PublishedValue(None)
        # Version of the row that was decoded last.
        self._row_version: int | None = None

    def router(self) -> Router | None:
        """
        :returns: routing table in force, ``None`` before a configuration was read.
        """
        return self._router.get()

    def fleet(self) -> FleetSnapshot | None:
        """
        :returns: configuration in force, ``None`` before one was read.
        """
        router = self.router()
        return router.fleet if router is not None else None

    def version(self) -> int:
        """
        :returns: version of the configuration in force, 0 before one was read.
        """
        fleet = self.fleet()
        return fleet.version if fleet is not None else 0

    def apply_rows(self, rows: tuple[Row, ...]) -> None:
        """Applies rows of the operator table; rows of other kinds are skipped."""
        for row in rows:
            if row.key == CONFIGURATION_KEY and row.value is not None:
                self._apply(row)

    def _apply(self, row: Row) -> None:
        with self._lock:
            if row.version == self._row_version:
                return
            is_changed = self._apply_new(row)
            # Not before, since a row whose decoding failed for another reason than its
            # content, such as a lack of memory, must be decoded again.
            self._row_version = row.version
        if is_changed:
            self._on_change()

    def _apply_new(self, row: Row) -> bool:
        """
        :returns: whether the row's configuration is in force now.
        """
        current = self.router()
        try:
            router = Router(decode_fleet(row.value))
        except RecordError as error:
            _log.error(
                "configuration_malformed",
                error=str(error),
                row_version=row.version,
                version_in_force=self.version(),
            )
            return False
        if router.fleet.version <= self.version():
            return False
        self._router.set(router)
        _log_in_force(router, current, row.version)
        return True


def _log_in_force(router: Router, former: Router | None, row_version: int) -> None:
    keys = router.keys or AccountKeys(())
    former_keys = (former.keys if former is not None else None) or AccountKeys(())
    _log.info(
        "configuration_in_force",
        version=router.fleet.version,
        row_version=row_version,
        queues_count=len(router.fleet.queues),
        has_accounts=router.keys is not None,
        accounts_count=len(router.fleet.accounts or ()),
        keys_count=len(keys),
        keys_added_count=keys.count_new(former_keys),
        keys_withdrawn_count=former_keys.count_new(keys),
    )
