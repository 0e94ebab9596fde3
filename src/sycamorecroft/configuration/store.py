"""Versions of the configuration in the table service."""

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

# Somewhat more than one day of the 1,800 changes a day of the target size. Each
# publish deletes the version that falls out, so the table stays bounded.
RETAINED_VERSIONS_COUNT = 2_000

# Bounds of the delay before a transaction is repeated after a lost response.
RETRY_BASE_S = 0.05
RETRY_CAP_S = 0.5


class PublishedVersion(msgspec.Struct, frozen=True):
    """What is known of a published version besides its content.

    ``rolled_back_to`` is the version whose content a rollback took up.
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
    """Value of row ``head``; ``token`` names the attempt that wrote it."""

    version: int
    token: str


class _Head(NamedTuple):
    """The head and the commit that wrote its row, ``None`` if there is no row."""

    version: int
    row_version: int | None


def _version_key(version: int) -> str:
    return f"version/{version}"


class ConfigurationStore:
    """Reads and publishes configuration versions.

    :param tables: the platform's table service.
    :param clock: source of the time of publication.
    :param purpose: share of the store budget to use for reads; ``CONFIGURATION``
        for polls by daemons.
    :param sleep: waits before a transaction is repeated after a lost response.
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
        :returns: the version published last, 0 if there is none.
        :raises StoreUnavailableError: when no answer was had in time.
        """
        return self._read_head().version

    def read_head(
        self, known: FleetConfiguration | None = None
    ) -> FleetConfiguration | None:
        """
        :param known: a version that the caller holds; its content isn't read again.
        :returns: the configuration published last, ``None`` if there is none.
        :raises StoreUnavailableError: when no answer was had in time.
        """
        version = self.head_version()
        if known is not None and known.version == version:
            return known
        return self.read_version(version) if version else None

    def read_version(self, version: int) -> FleetConfiguration:
        """
        :raises ConfigurationError: if ``version`` isn't in the store.
        :raises StoreUnavailableError: when no answer was had in time.
        """
        row = self._read_row(version)
        if row is None:
            message = (
                f"version {version} is not in the store; allowed are published "
                f"versions, of which the last {RETAINED_VERSIONS_COUNT} are kept; "
                "choose one from the history"
            )
            raise ConfigurationError(message)
        return decode_configuration(bytes(row.configuration))

    def history(self, limit: int = 20) -> tuple[PublishedVersion, ...]:
        """
        :param limit: number of versions at most; each costs one read.
        :returns: published versions, the latest first.
        :raises StoreUnavailableError: when no answer was had in time.
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

        Publishing the same content on the same base again returns the version that
        the first call wrote, so the call may be repeated after a lost response.

        :param configuration: content; its version is replaced.
        :param base_version: the version that the operator's change is based on,
            0 for the first.
        :param author: who publishes, for the history.
        :raises ConfigurationConflictError: naming the winner, if another version
            was published on ``base_version``.
        :raises StoreUnavailableError: when nothing was published.
        :raises StoreOutcomeUnknownError: when the response was lost and the outcome
            can't be read back; the call can be repeated.
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
        settled = self._settled(published)
        if settled is not None:
            return settled
        try:
            return self._commit(published, content)
        except StoreConflictError:
            settled = self._settled(published)
        if settled is None:
            message = (
                f"the head changed while version {published.version} was published, "
                "and is unchanged now; nothing was published, repeat the command"
            )
            raise ConfigurationConflictError(message)
        return settled

    def rollback(
        self, to_version: int, *, base_version: int, author: str
    ) -> PublishedVersion:
        """Publishes the content of an earlier version as a new version.

        :param to_version: version whose content to publish.
        :raises ConfigurationError: if ``to_version`` isn't in the store.
        :raises ConfigurationConflictError: as :meth:`publish`.
        """
        return self.publish(
            self.read_version(to_version),
            base_version=base_version,
            author=author,
            rolled_back_to=to_version,
        )

    def _settled(self, published: PublishedVersion) -> PublishedVersion | None:
        """
        :returns: the version with this content, if it is the head or was published
            on this base; ``None`` if it is still to be published.
        """
        head = self._read_head()
        if head.version < published.base_version:
            message = (
                f"base version {published.base_version} has not been published; the "
                f"head is version {head.version}; name this version as the base"
            )
            raise ConfigurationError(message)
        is_open = head.version == published.base_version
        row = self._read_row(head.version if is_open else published.version)
        if row is not None and row.published.digest == published.digest:
            return row.published
        if is_open:
            return None
        raise _conflict(published, head, row)

    def _commit(
        self, published: PublishedVersion, content: FleetConfiguration
    ) -> PublishedVersion:
        head = self._read_head()
        if head.version != published.base_version:
            message = f"the head is version {head.version}"
            raise StoreConflictError(message)
        token = secrets.token_hex(8)
        head_row = _HeadRow(published.version, token)
        row = _VersionRow(published, msgspec.Raw(encode_configuration(content)))
        puts = [
            Put(TABLE, _version_key(published.version), msgspec.json.encode(row)),
            Put(TABLE, HEAD_KEY, msgspec.json.encode(head_row)),
        ]
        dropped = published.version - RETAINED_VERSIONS_COUNT
        if dropped > 0:
            puts.append(Put(TABLE, _version_key(dropped), None))
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


def _decode(row: Row, kind: type):
    try:
        return msgspec.json.decode(row.value, type=kind)
    except msgspec.MsgspecError as cause:
        message = f"row {row.table}/{row.key} can't be decoded ({cause}); restore it"
        raise ConfigurationError(message) from cause


def _conflict(
    published: PublishedVersion, head: _Head, winner_row: _VersionRow | None
) -> ConfigurationConflictError:
    if winner_row is None:
        by = "it is no longer kept"
    else:
        winner = winner_row.published
        when = winner.published_at.isoformat()
        by = f"{winner.author!r} published it at {when}"
    return ConfigurationConflictError(
        f"version {published.version} on base {published.base_version} exists with "
        f"other content: {by}; the head is version {head.version}; compare with it "
        f"and apply again with base version {head.version}"
    )
