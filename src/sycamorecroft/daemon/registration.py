"""Registration of this entry host, with its grants on hosts that are draining."""

import secrets
from collections.abc import Callable
from datetime import datetime
from typing import NamedTuple

import structlog

from sycamorecroft.errors import NotLeaseHolderError, PlatformError
from sycamorecroft.pools.records import ENTRIES_TABLE, decode_entry_host
from sycamorecroft.pools.registration import EntryHostRegistration
from sycamorecroft.pools.state import HostState, PoolView
from sycamorecroft.store.interfaces import StorePurpose, TableService

_log = structlog.get_logger()

REGISTRATION_INTERVAL_S = 2.0
REGISTRATIONS_READ_INTERVAL_S = 3.0


class GrantReport(NamedTuple):
    """Hosts with grants of queues owned here or held by requests or jobs here.

    ``view_version`` is the version of the pool view that the queues had applied when
    the grants were read.
    """

    view_version: int
    hosts: frozenset[str]


class RegistrationReporter:
    """Renews the registration periodically. Not thread-safe; called by one ticker.

    :param grants: returns the grants; must return within a bounded time.
    :param staged_version: returns the staged configuration version.
    :param on_superseded: called when a later start of this entry host has registered.
    """

    def __init__(
        self,
        registration: EntryHostRegistration,
        *,
        grants: Callable[[], GrantReport],
        view: Callable[[], PoolView],
        staged_version: Callable[[], int],
        on_superseded: Callable[[], None],
    ) -> None:
        self._registration = registration
        self._grants = grants
        self._view = view
        self._staged_version = staged_version
        self._on_superseded = on_superseded

    def report(self) -> None:
        """Writes the row of this entry host; the next call retries after a failure."""
        report = self._grants()
        # The view is read after the grants, so it may be newer than the version being
        # acknowledged. Grants on a host that drains only in the newer view will be
        # asked for again under that version.
        view = self._view()
        try:
            self._registration.renew(
                view_version=report.view_version,
                staged_version=self._staged_version(),
                granted_hosts=[
                    host for host in report.hosts if not _is_active(view, host)
                ],
            )
        except NotLeaseHolderError as error:
            _log.error("registration_superseded", error=str(error))
            self._on_superseded()
        except PlatformError as error:
            _log.info("registration_not_written", error=str(error))


def _is_active(view: PoolView, host: str) -> bool:
    record = view.hosts.get(host)
    return record is not None and record["state"] == HostState.ACTIVE


def registered_entry_hosts(table: TableService, now: datetime) -> frozenset[str] | None:
    """
    :param now: wall time.
    :returns: entry hosts whose registration has not expired; ``None`` if the store is
        unavailable.
    """
    try:
        scan = table.scan(ENTRIES_TABLE, purpose=StorePurpose.VIEW)
    except PlatformError as error:
        _log.info("registrations_unavailable", error=str(error))
        return None
    records = (decode_entry_host(row.value or b"") for row in scan.rows)
    return frozenset(
        record["entry"]
        for record in records
        if datetime.fromisoformat(record["expires_at"]) > now
    )


def new_incarnation(now: datetime) -> str:
    """
    :returns: name of this daemon start; names sort in the order of starts.
    """
    return f"{now:%Y%m%dT%H%M%S.%f}-{secrets.token_hex(4)}"
