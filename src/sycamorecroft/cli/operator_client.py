"""Client of the operators' HTTP interface of the daemons."""

from enum import StrEnum
from typing import Any, TypeVar

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from sycamorecroft.cli.exit_codes import OperatorRefusedError
from sycamorecroft.configuration.codec import (
    decode_configuration,
    encode_configuration,
)
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.configuration.operator_messages import (
    CONFIGURATION_PATH,
    HISTORY_PATH,
    HOSTS_PATH,
    ConfigurationReply,
    FailureReason,
    FailureReply,
    HistoryReply,
    HostsReply,
    PublishRequest,
)
from sycamorecroft.configuration.store import PublishedVersion
from sycamorecroft.errors import (
    ConfigurationConflictError,
    ConfigurationError,
    OutcomeUnknownError,
    StoreUnavailableError,
    SycamorecroftError,
)
from sycamorecroft.settings import ToolSettings

Reply = TypeVar("Reply")


class Method(StrEnum):
    """HTTP methods of the interface."""

    GET = "GET"
    PUT = "PUT"
    POST = "POST"
    DELETE = "DELETE"


class OperatorClient:
    """Calls the daemons in the order of the settings.

    The next daemon is tried when a connection could not be established, and for reads
    after every failure of transport. A change that was sent is never sent again.

    :param settings: URLs of the daemons and the token.
    """

    def __init__(self, settings: ToolSettings) -> None:
        self._settings = settings
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(total=settings.timeout_s)
        )

    def configuration(self, version: int | None = None) -> FleetConfiguration | None:
        """
        :param version: version to read, ``None`` for the head.
        :returns: the configuration, ``None`` if none has been published.
        :raises SycamorecroftError: as :meth:`call`.
        """
        fields = {} if version is None else {"version": str(version)}
        reply = self.call(
            Method.GET, CONFIGURATION_PATH, ConfigurationReply, fields=fields
        )
        if reply.version == 0:
            return None
        return decode_configuration(bytes(reply.configuration))

    def history(self, limit: int) -> tuple[PublishedVersion, ...]:
        """
        :param limit: number of versions at most.
        :returns: published versions, the latest first.
        :raises SycamorecroftError: as :meth:`call`.
        """
        fields = {"limit": str(limit)}
        return self.call(Method.GET, HISTORY_PATH, HistoryReply, fields=fields).versions

    def hosts(self) -> HostsReply:
        """
        :returns: the host records.
        :raises SycamorecroftError: as :meth:`call`.
        """
        return self.call(Method.GET, HOSTS_PATH, HostsReply)

    def publish(
        self,
        configuration: FleetConfiguration,
        *,
        base_version: int,
        author: str,
        rolled_back_to: int | None = None,
    ) -> PublishedVersion:
        """
        :param base_version: version that the change is based on.
        :returns: the version published, by this call or by an equal one before.
        :raises ConfigurationConflictError: if another version was published first.
        :raises SycamorecroftError: as :meth:`call`.
        """
        request = PublishRequest(
            base_version,
            author,
            msgspec.Raw(encode_configuration(configuration)),
            rolled_back_to,
        )
        return self.call(Method.PUT, CONFIGURATION_PATH, PublishedVersion, body=request)

    def call(
        self,
        method: Method,
        path: str,
        kind: type[Reply],
        *,
        body: msgspec.Struct | None = None,
        fields: dict[str, str] | None = None,
    ) -> Reply:
        """Calls the first daemon that can be reached.

        :param kind: type of the reply.
        :param body: JSON body of the request.
        :param fields: query parameters.
        :raises ConfigurationError: if the daemon refused the request as not valid.
        :raises ConfigurationConflictError: if another operator's change came first.
        :raises StoreUnavailableError: if nothing was changed, since no daemon or no
            store could be reached.
        :raises OutcomeUnknownError: if a change may have been made.
        :raises OperatorRefusedError: if the token was refused.
        """
        headers = {"Content-Type": "application/json"}
        if self._settings.operator_token is not None:
            headers["Authorization"] = f"Bearer {self._settings.operator_token}"
        failures = []
        for url in self._settings.daemon_urls:
            try:
                response = self._http.request(
                    str(method),
                    url.rstrip("/") + path,
                    body=None if body is None else msgspec.json.encode(body),
                    fields=fields if body is None else None,
                    headers=headers,
                    redirect=False,
                )
            except HTTPError as error:
                _require_harmless(method, path, url, error)
                failures.append(f"{url} ({error})")
                continue
            return _decode(method, url, response, kind)
        message = (
            f"no daemon could be reached: {'; '.join(failures)}; nothing was changed; "
            "check daemon_urls in the tool's settings"
        )
        raise StoreUnavailableError(message)


def _require_harmless(method: Method, path: str, url: str, error: HTTPError) -> None:
    is_unsent = isinstance(error, NewConnectionError | ConnectTimeoutError)
    if is_unsent or method is Method.GET:
        return
    message = (
        f"{method} {path} was sent to {url} and no response arrived ({error}): the "
        "change may have been made; repeat the same command, it makes the change at "
        "most once and reports the result"
    )
    raise OutcomeUnknownError("response_lost", message) from error


def _decode(
    method: Method, url: str, response: urllib3.BaseHTTPResponse, kind: type[Any]
) -> Any:
    try:
        if response.status < 400:
            return msgspec.json.decode(response.data, type=kind)
        failure = msgspec.json.decode(response.data, type=FailureReply)
    except msgspec.MsgspecError as cause:
        message = (
            f"{url} answered {response.status} with a body that is not understood "
            f"({cause}); check that the URL is that of a daemon of this release"
        )
        if method is Method.GET:
            raise StoreUnavailableError(message) from cause
        raise OutcomeUnknownError("response_malformed", message) from cause
    raise _error_of(failure)


def _error_of(failure: FailureReply) -> SycamorecroftError:
    match failure.reason:
        case FailureReason.CONFLICT:
            return ConfigurationConflictError(failure.message)
        case FailureReason.INVALID:
            return ConfigurationError(failure.message)
        case FailureReason.UNAUTHORIZED:
            return OperatorRefusedError(failure.message)
        case FailureReason.STORE_UNAVAILABLE:
            return StoreUnavailableError(failure.message)
        case FailureReason.OUTCOME_UNKNOWN:
            return OutcomeUnknownError(failure.reason, failure.message)
