"""JSON bodies of the operators' HTTP interface, used by the daemon and the tool."""

from enum import StrEnum
from http import HTTPStatus

import msgspec

from sycamorecroft.configuration.store import PublishedVersion
from sycamorecroft.errors import (
    ConfigurationConflictError,
    ConfigurationError,
    RequestError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    SycamorecroftError,
)
from sycamorecroft.pools.state import HostRecord

# GET: ConfigurationReply, of the version in query parameter ``version`` or of the
# head. PUT: PublishRequest, answered by PublishedVersion.
CONFIGURATION_PATH = "/v1/operator/configuration"
# GET: HistoryReply, of at most as many versions as query parameter ``limit`` says.
HISTORY_PATH = "/v1/operator/configuration/history"
# GET: HostsReply.
HOSTS_PATH = "/v1/operator/hosts"

NO_CONFIGURATION = msgspec.Raw(b"null")


class ConfigurationReply(msgspec.Struct, frozen=True):
    """A version; version 0 with configuration null while none has been published.

    ``in_force_version`` is that of the daemon that answers, 0 for none.
    """

    version: int
    in_force_version: int
    configuration: msgspec.Raw = NO_CONFIGURATION


class PublishRequest(msgspec.Struct, frozen=True):
    """A configuration to publish as the version after ``base_version``."""

    base_version: int
    author: str
    configuration: msgspec.Raw
    rolled_back_to: int | None = None


class HistoryReply(msgspec.Struct, frozen=True):
    """Published versions, the latest first."""

    versions: tuple[PublishedVersion, ...]


class HostsReply(msgspec.Struct, frozen=True):
    """Host records as of commit ``view_version`` of the table service."""

    view_version: int
    hosts: tuple[HostRecord, ...]


class FailureReason(StrEnum):
    """Why a call of an operator failed."""

    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAUTHORIZED = "unauthorized"
    STORE_UNAVAILABLE = "store_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"


class FailureReply(msgspec.Struct, frozen=True):
    """Body of every response with a status of 400 or more."""

    reason: FailureReason
    message: str


STATUS_OF_REASON = {
    FailureReason.CONFLICT: HTTPStatus.CONFLICT,
    FailureReason.INVALID: HTTPStatus.BAD_REQUEST,
    FailureReason.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
    FailureReason.STORE_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    FailureReason.OUTCOME_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
}

# Subclasses stand before their base classes.
_REASONS: tuple[tuple[type[SycamorecroftError], FailureReason], ...] = (
    (ConfigurationConflictError, FailureReason.CONFLICT),
    (ConfigurationError, FailureReason.INVALID),
    (RequestError, FailureReason.INVALID),
    (StoreUnavailableError, FailureReason.STORE_UNAVAILABLE),
    (StoreOutcomeUnknownError, FailureReason.OUTCOME_UNKNOWN),
)


def failure_reply(error: SycamorecroftError) -> FailureReply:
    """
    :returns: the body that reports ``error``. Errors of other kinds are reported as
        unknown outcome, since nothing is known of what they left behind.
    """
    for kind, reason in _REASONS:
        if isinstance(error, kind):
            return FailureReply(reason, str(error))
    return FailureReply(FailureReason.OUTCOME_UNKNOWN, str(error))
