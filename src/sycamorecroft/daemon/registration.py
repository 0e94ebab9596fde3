"""Registers this entry host and reports its grants on hosts that drain."""

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
REGISTERED_INTERVAL_S = 3.0


class GrantReport(NamedTuple):
    """Grants at one moment: of queues owned here, and held by requests here.

    ``view_version`` is the pool view that the queues had applied before.
    """

    view_version: int
    hosts: frozenset[str]


class RegistrationReporter:
    """Renews the registration. Not thread-safe: one ticker calls it.

    :param grants: reports grants; must be bounded in time.
    :param staged_version: returns the staged configuration version.
    :param superseded: called once when a later start of this entry host registered.
    """

    def __init__(
        self,
        registration: EntryHostRegistration,
        *,
        grants: Callable[[], GrantReport],
        view: Callable[[], PoolView],
        staged_version: Callable[[], int],
        superseded: Callable[[], None],
    ) -> None:
        self._registration = registration
        self._grants = grants
        self._view = view
        self._staged_version = staged_version
        self._superseded = superseded

    def report(self) -> None:
        """Writes the row of this entry host; a failure is left to the next call."""
        report = self._grants()
        # Read after the report: a host that drains only in a view newer than the one
        # acknowledged is asked about again under the newer version.
        view = self._view()
        try:
            self._registration.renew(
                view_version=report.view_version,
                staged_version=self._staged_version(),
                granted_hosts=[h for h in report.hosts if not _is_active(view, h)],
            )
        except NotLeaseHolderError as error:
            _log.error("registration_superseded", error=str(error))
            self._superseded()
        except PlatformError as error:
            _log.info("registration_not_written", error=str(error))


def _is_active(view: PoolView, host: str) -> bool:
    record = view.hosts.get(host)
    return record is not None and record["state"] == HostState.ACTIVE


def registered_entries(table: TableService, now: datetime) -> frozenset[str] | None:
    """
    :param now: wall time.
    :returns: entry hosts whose registration hasn't expired; ``None`` if the store
        gave no answer.
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
    :returns: name of this start; names compare as strings in the order of starts.
    """
    return f"{now:%Y%m%dT%H%M%S.%f}-{secrets.token_hex(4)}"
