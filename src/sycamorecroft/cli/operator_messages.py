"""JSON bodies of the daemons' operator interface, as the tool sends and reads them."""

import msgspec

from sycamorecroft.configuration.store import PublishedVersion
from sycamorecroft.pools.state import HostRecord

CONFIGURATION_PATH = "/v1/operator/configuration"
ROLLBACK_PATH = "/v1/operator/configuration/rollback"
HISTORY_PATH = "/v1/operator/configuration/history"
HOSTS_PATH = "/v1/operator/hosts"


class ConfigurationReply(msgspec.Struct, frozen=True):
    """The head; version 0 with configuration null while none has been published.

    ``in_force_version`` is that of the daemon that answers, 0 for none.
    """

    version: int
    in_force_version: int
    configuration: msgspec.Raw


class PublishRequest(msgspec.Struct, frozen=True):
    """A configuration to publish as the version after ``base_version``."""

    base_version: int
    author: str
    configuration: msgspec.Raw


class RollbackRequest(msgspec.Struct, frozen=True):
    """An earlier version to publish again as the version after ``base_version``."""

    base_version: int
    author: str
    to_version: int


class HistoryReply(msgspec.Struct, frozen=True):
    """Published versions, the latest first."""

    versions: tuple[PublishedVersion, ...]


class HostsReply(msgspec.Struct, frozen=True):
    """Host records as of commit ``view_version`` of the table service."""

    view_version: int
    hosts: tuple[HostRecord, ...]


class FailureReply(msgspec.Struct, frozen=True):
    """Body of every response with a status of 400 or more."""

    error: str
    message: str
