"""Messages between the ledger and the writer of quota rows."""

from typing import NamedTuple

from sycamorecroft.quotas.rows import QuotaRow
from sycamorecroft.scheduling.model import Resources
from sycamorecroft.store.interfaces import Row


class RowChange(NamedTuple):
    """Conditional change of the row of an account.

    ``expected_version``: version that the row must have, ``None`` if it must be absent.
    ``row``: its new content, ``None`` to delete it.
    """

    account: str
    expected_version: int | None
    row: QuotaRow | None


class QuotaWrite(NamedTuple):
    """Changes that are stored in one transaction."""

    changes: tuple[RowChange, ...]


class QuotaWriteResult(NamedTuple):
    """Outcome of a write.

    ``version``: version of the written rows, ``None`` if the write isn't stored.
    ``rows``: rows as they are stored now if a condition failed, a deleted or absent one
    with ``value`` ``None``.
    """

    write: QuotaWrite
    is_stored: bool
    version: int | None = None
    rows: tuple[Row, ...] = ()


class AccountQuota(NamedTuple):
    """What the owner of a service knows of an account's limit.

    ``grant``: own grant, ``None`` if it is unbounded or not written yet.
    ``granted_total``: sum of the grants of all services, ``None`` if one is unbounded.
    """

    account: str
    limit: Resources | None
    used: Resources
    grant: Resources | None
    wanted: Resources
    granted_total: Resources | None
