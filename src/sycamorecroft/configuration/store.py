"""Stores published configuration versions in the table service."""

import random
import secrets
import time
from collections.abc import Callable
from datetime import datetime
from typing import NamedTuple

import msgspec

from sycamorecroft.clock import Clock
from sycamorecroft.configuration.codec import (
    decode_configuration,
    digest_of,
    encode_configuration,
)
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.errors import (
    ConfigurationConflictError,
    ConfigurationError,
    StoreConflictError,
)
from sycamorecroft.store.backoff import Backoff
from sycamorecroft.store.interfaces import (
    Check,
    Put,
    Row,
    StorePurpose,
    TableService,
)
from sycamorecroft.store.read_back import TokenRow, transact_with_token

TABLE = "configuration"
HEAD_KEY = "head"

# Slightly more than one day of changes at the target size of 1,800 changes per day.
# Each publish deletes the oldest version beyond the limit, so the table is bounded.
RETAINED_VERSIONS_COUNT = 2_000

# Upper bounds of the delay before a transaction is retried after a lost response.
RETRY_BASE_S = 0.05
RETRY_CAP_S = 0.5


class PublishedVersion(msgspec.Struct, frozen=True):
    """Metadata of a published version.

    ``rolled_back_to`` is the version whose content a rollback published again.
    """

    version: int
    base_version: int
    author: str
    published_at: datetime
    digest: str
    rolled_back_to: int | None


class _VersionRow(msgspec.Struct, frozen=True):
    """Value of row ``version/N``."""

    published: PublishedVersion
    configuration: msgspec.Raw


class _HeadRow(msgspec.Struct, frozen=True):
    """Value of row ``head``; ``token`` identifies the transaction that wrote it."""

    version: int
    token: str


class _Head(NamedTuple):
    """The head version, and the version of its row, ``None`` if there is no row."""

    version: int
    row_version: int | None


def _version_key(version: int) -> str:
    return f"version/{version}"


class ConfigurationStore:
    """Reads and publishes configuration versions.

    :param tables: the platform's table service.
    :param clock: source of publication times.
    :param purpose: purpose whose share of the store budget reads use;
        ``CONFIGURATION`` for polls by daemons.
    :param sleep: waits before a transaction is retried after a lost response.
    """

    def __init__(
        self,
        tables: TableService,
        clock: Clock,
        purpose: StorePurpose = StorePurpose.CONFIGURATION,
        sleep: Callable[[float], object] = time.sleep,
    ) -> None:
        self._tables = tables
        self._clock = clock
        self._purpose = purpose
        self._sleep = sleep

    def head_version(self) -> int:
        """
        :returns: the latest published version number, 0 if there is none.
        :raises StoreUnavailableError: when no response arrived within the timeout.
        """
        return self._read_head().version

    def read_head(
        self, known: FleetConfiguration | None = None
    ) -> FleetConfiguration | None:
        """
        :param known: configuration that the caller holds; it is returned without
            another read if it is the head.
        :returns: the latest published configuration, ``None`` if there is none.
        :raises StoreUnavailableError: when no response arrived within the timeout.
        """
        version = self.head_version()
        if known is not None and known.version == version:
            return known
        return self.read_version(version) if version else None

    def read_version(self, version: int) -> FleetConfiguration:
        """
        :raises ConfigurationError: if ``version`` is not in the store.
        :raises StoreUnavailableError: when no response arrived within the timeout.
        """
        row = self._read_row(version)
        if row is None:
            message = (
                f"version {version} is not in the store; allowed are the latest "
                f"{RETAINED_VERSIONS_COUNT} published versions; "
                "choose one from the history"
            )
            raise ConfigurationError(message)
        return decode_configuration(bytes(row.configuration))

    def history(self, limit: int = 20) -> tuple[PublishedVersion, ...]:
        """
        :param limit: maximum number of versions; each costs one read.
        :returns: metadata of published versions, latest first.
        :raises StoreUnavailableError: when no response arrived within the timeout.
        """
        head = self.head_version()
        rows = (self._read_row(n) for n in range(head, max(head - limit, 0), -1))
        return tuple(row.published for row in rows if row is not None)

    def publish(
        self,
        configuration: FleetConfiguration,
        *,
        base_version: int,
        author: str,
        rolled_back_to: int | None = None,
    ) -> PublishedVersion:
        """Publishes ``configuration`` as the version after ``base_version``.

        The call is idempotent: publishing the same content on the same base again
        returns the version that the first call wrote, so it can be retried after a
        lost response.

        :param configuration: content to publish; its version number is replaced.
        :param base_version: version on which the operator's change is based, 0 for the
            first version.
        :param author: name of the operator, for the history.
        :raises ConfigurationConflictError: naming the winner, if another version
            was published on ``base_version``.
        :raises ConfigurationError: if ``base_version`` has not been published.
        :raises StoreUnavailableError: when nothing was published.
        :raises StoreOutcomeUnknownError: when the response was lost and the outcome
            can't be read back; the call can be retried.
        """
        published = PublishedVersion(
            version=base_version + 1,
            base_version=base_version,
            author=author,
            published_at=self._clock.now(),
            digest=digest_of(configuration),
            rolled_back_to=rolled_back_to,
        )
        content = configuration._replace(version=published.version)
        existing = self._find_published(published)
        if existing is not None:
            return existing
        try:
            return self._commit(published, content)
        except StoreConflictError:
            existing = self._find_published(published)
        if existing is None:
            message = (
                f"the head changed while version {published.version} was published, "
                "and is the base version again; nothing was published; repeat "
                "the command"
            )
            raise ConfigurationConflictError(message)
        return existing

    def rollback(
        self, to_version: int, *, base_version: int, author: str
    ) -> PublishedVersion:
        """Publishes the content of an earlier version as a new version.

        :param to_version: version whose content to publish.
        :raises ConfigurationError: if ``to_version`` is not in the store.
        :raises ConfigurationConflictError: as for :meth:`publish`.
        """
        return self.publish(
            self.read_version(to_version),
            base_version=base_version,
            author=author,
            rolled_back_to=to_version,
        )

    def _find_published(self, published: PublishedVersion) -> PublishedVersion | None:
        """
        :returns: the published version with the same content, if it is the head or was
            published on the same base; ``None`` if there is none and the base is the
            head.
        :raises ConfigurationError: if the base version has not been published.
        :raises ConfigurationConflictError: if other content was published on the base.
        """
        head = self._read_head()
        if head.version < published.base_version:
            message = (
                f"base version {published.base_version} has not been published; the "
                f"head is version {head.version}; use this version as the base"
            )
            raise ConfigurationError(message)
        is_base_current = head.version == published.base_version
        row = self._read_row(head.version if is_base_current else published.version)
        if row is not None and row.published.digest == published.digest:
            return row.published
        if is_base_current:
            return None
        raise _conflict(published, head, row)

    def _commit(
        self, published: PublishedVersion, content: FleetConfiguration
    ) -> PublishedVersion:
        head = self._read_head()
        if head.version != published.base_version:
            message = f"the head has changed to version {head.version}"
            raise StoreConflictError(message)
        token = secrets.token_hex(8)
        head_row = _HeadRow(published.version, token)
        row = _VersionRow(published, msgspec.Raw(encode_configuration(content)))
        puts = [
            Put(TABLE, _version_key(published.version), msgspec.json.encode(row)),
            Put(TABLE, HEAD_KEY, msgspec.json.encode(head_row)),
        ]
        expired_version = published.version - RETAINED_VERSIONS_COUNT
        if expired_version > 0:
            puts.append(Put(TABLE, _version_key(expired_version), None))
        transact_with_token(
            self._tables,
            [Check(TABLE, HEAD_KEY, head.row_version)],
            puts,
            TokenRow(TABLE, HEAD_KEY, token),
            purpose=StorePurpose.OPERATORS,
            backoff=Backoff(RETRY_BASE_S, RETRY_CAP_S, random.Random()),
            sleep=self._sleep,
        )
        return published

    def _read_head(self) -> _Head:
        row = self._tables.read(TABLE, HEAD_KEY, purpose=self._purpose)
        if row is None or row.value is None:
            return _Head(0, None)
        return _Head(_decode(row, _HeadRow).version, row.version)

    def _read_row(self, version: int) -> _VersionRow | None:
        key = _version_key(version)
        row = self._tables.read(TABLE, key, purpose=self._purpose)
        if row is None or row.value is None:
            return None
        return _decode(row, _VersionRow)


def _decode(row: Row, row_type: type):
    try:
        return msgspec.json.decode(row.value, type=row_type)
    except msgspec.MsgspecError as cause:
        message = f"row {row.table}/{row.key} can't be decoded ({cause}); restore it"
        raise ConfigurationError(message) from cause


def _conflict(
    published: PublishedVersion, head: _Head, winner_row: _VersionRow | None
) -> ConfigurationConflictError:
    if winner_row is None:
        winner_description = "it is no longer in the store"
    else:
        winner = winner_row.published
        published_at = winner.published_at.isoformat()
        winner_description = f"{winner.author!r} published it at {published_at}"
    return ConfigurationConflictError(
        f"version {published.version} on base {published.base_version} exists with "
        f"other content: {winner_description}; the head is version {head.version}; "
        f"compare with it and apply again with base version {head.version}"
    )
