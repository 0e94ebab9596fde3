"""Rows in which the services keep their grants of the accounts' limits."""

from typing import NamedTuple

from sycamorecroft.scheduling.model import Resources

QUOTAS_TABLE = "quotas"
# One part for all accounts, so that a new owner can rewrite the rows of many in one
# transaction.
QUOTAS_PART = "~quotas"


class QuotaEntry(NamedTuple):
    """Grant of one service.

    ``epoch``: epoch of the owner that wrote it. ``grant``: what the service may run of
    the account, ``None`` if that is unbounded. ``wanted``: what it needs.
    """

    epoch: int
    grant: Resources | None
    wanted: Resources = Resources()


class QuotaRow(NamedTuple):
    """Grants of one account's limit, by service.

    ``configuration_version``: highest version that any of the writers had.
    """

    configuration_version: int
    entries: dict[str, QuotaEntry]
