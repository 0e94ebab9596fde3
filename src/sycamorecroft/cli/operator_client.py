"""Client of the daemons' HTTP interface for operators."""

from concurrent.futures import ThreadPoolExecutor
from enum import StrEnum
from http import HTTPStatus
from typing import Any, NamedTuple, TypeVar

import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    TimeoutError,
)

from sycamorecroft.cli.exit_codes import OperatorTokenRefusedError
from sycamorecroft.cli.operator_messages import (
    CONFIGURATION_PATH,
    HISTORY_PATH,
    HOSTS_PATH,
    ROLLBACK_PATH,
    ConfigurationReply,
    FailureReply,
    HistoryReply,
    HostsReply,
    PublishRequest,
    RollbackRequest,
)
from sycamorecroft.configuration.codec import (
    decode_configuration,
    encode_configuration,
)
from sycamorecroft.configuration.fleet import FleetConfiguration
from sycamorecroft.configuration.store import PublishedVersion
from sycamorecroft.entry.headers import IDEMPOTENCY_KEY_HEADER
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
    """HTTP methods of the operator interface."""

    GET = "GET"
    PUT = "PUT"
    POST = "POST"
    DELETE = "DELETE"


class DaemonReply(NamedTuple):
    """Reply of one daemon; without one, ``problem`` describes the failure."""

    url: str
    reply: Any | None
    problem: str


class OperatorClient:
    """Calls the daemons in the order of the settings.

    The next daemon is tried if no connection could be established; a read is also
    retried there after any other transport error. A change that was sent once is never
    sent again, because its outcome is unknown.

    :param settings: URLs of the daemons, operator token and timeout.
    """

    def __init__(self, settings: ToolSettings) -> None:
        self._settings = settings
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(total=settings.timeout_s)
        )

    def configuration(self) -> FleetConfiguration | None:
        """
        :returns: the configuration published last, ``None`` if there is none.
        :raises SycamorecroftError: as :meth:`call`.
        """
        reply = self.call(Method.GET, CONFIGURATION_PATH, ConfigurationReply)
        if reply.version == 0:
            return None
        return decode_configuration(bytes(reply.configuration))

    def history(self) -> tuple[PublishedVersion, ...]:
        """
        :returns: the most recently published versions, latest first.
        :raises SycamorecroftError: as :meth:`call`.
        """
        return self.call(Method.GET, HISTORY_PATH, HistoryReply).versions

    def hosts(self) -> HostsReply:
        """
        :returns: the host records and the version of the host view.
        :raises SycamorecroftError: as :meth:`call`.
        """
        return self.call(Method.GET, HOSTS_PATH, HostsReply)

    def publish(
        self, configuration: FleetConfiguration, *, base_version: int, author: str
    ) -> PublishedVersion:
        """
        :param base_version: version that the change is based on.
        :returns: the version published, by this call or by an equal one before.
        :raises ConfigurationConflictError: if another version was published first.
        :raises SycamorecroftError: as :meth:`call`.
        """
        content = msgspec.Raw(encode_configuration(configuration))
        request = PublishRequest(base_version, author, content)
        return self.call(Method.PUT, CONFIGURATION_PATH, PublishedVersion, body=request)

    def rollback(
        self, to_version: int, *, base_version: int, author: str
    ) -> PublishedVersion:
        """
        :param to_version: version whose content to publish again.
        :param base_version: version that the change is based on.
        :returns: the version published, by this call or by an equal one before.
        :raises ConfigurationConflictError: if another version was published first.
        :raises SycamorecroftError: as :meth:`call`.
        """
        request = RollbackRequest(base_version, author, to_version)
        return self.call(Method.POST, ROLLBACK_PATH, PublishedVersion, body=request)

    def call(
        self,
        method: Method,
        path: str,
        reply_type: type[Reply],
        *,
        body: msgspec.Struct | None = None,
        idempotency_key: str | None = None,
    ) -> Reply:
        """Calls the first daemon that can be reached.

        :param reply_type: type that the response body is decoded to.
        :param body: JSON body of the request.
        :param idempotency_key: key of a call that creates an object.
        :returns: the decoded response body.
        :raises ConfigurationError: if the daemon rejected the request as invalid.
        :raises ConfigurationConflictError: if another operator's change was made first.
        :raises StoreUnavailableError: if no daemon or no store could be reached;
            nothing was changed.
        :raises OutcomeUnknownError: if a change may have been made.
        :raises OperatorTokenRefusedError: if the daemon rejected the token.
        """
        headers = self._headers()
        if idempotency_key is not None:
            headers[IDEMPOTENCY_KEY_HEADER] = idempotency_key
        failures = []
        for url in self._settings.daemon_urls:
            try:
                response = self._http.request(
                    str(method),
                    url.rstrip("/") + path,
                    body=None if body is None else msgspec.json.encode(body),
                    headers=headers,
                    redirect=False,
                )
            except HTTPError as error:
                _raise_if_outcome_unknown(method, path, url, error)
                failures.append(f"{url} ({error})")
                continue
            return _decode(method, url, response, reply_type)
        message = (
            f"no daemon could be reached: {'; '.join(failures)}; nothing was changed; "
            "check daemon_urls in the tool's settings"
        )
        raise StoreUnavailableError(message)

    def call_each(self, path: str, reply_type: type[Reply]) -> tuple[DaemonReply, ...]:
        """Reads from all daemons in the settings concurrently.

        :param reply_type: type that the response bodies are decoded to.
        :returns: one reply or problem per daemon, in the order of the settings.
        """
        urls = self._settings.daemon_urls
        with ThreadPoolExecutor(len(urls)) as executor:
            return tuple(
                executor.map(lambda url: self._read_one(url, path, reply_type), urls)
            )

    def _read_one(self, url: str, path: str, reply_type: type[Any]) -> DaemonReply:
        try:
            response = self._http.request(
                str(Method.GET),
                url.rstrip("/") + path,
                headers=self._headers(),
                redirect=False,
            )
            return DaemonReply(url, _decode(Method.GET, url, response, reply_type), "")
        except HTTPError as error:
            return DaemonReply(url, None, self._describe_transport_error(error))
        except SycamorecroftError as error:
            return DaemonReply(url, None, str(error))

    def _describe_transport_error(self, error: HTTPError) -> str:
        if isinstance(error, NewConnectionError):
            return "no connection, its process or host is down"
        if isinstance(error, TimeoutError):
            return f"no answer in {self._settings.timeout_s:g} s"
        return str(error)

    def _headers(self) -> dict[str, str]:
        headers = {"Content-Type": "application/json"}
        if self._settings.operator_token is not None:
            headers["Authorization"] = f"Bearer {self._settings.operator_token}"
        return headers


def _raise_if_outcome_unknown(
    method: Method, path: str, url: str, error: HTTPError
) -> None:
    is_unsent = isinstance(error, NewConnectionError | ConnectTimeoutError)
    if is_unsent or method is Method.GET:
        return
    message = (
        f"{method} {path} was sent to {url} but no response arrived ({error}): the "
        "change may have been made; repeat the same command, it makes the change at "
        "most once and reports the result"
    )
    raise OutcomeUnknownError("response_lost", message) from error


def _decode(
    method: Method, url: str, response: urllib3.BaseHTTPResponse, reply_type: type[Any]
) -> Any:
    try:
        if response.status < 400:
            return msgspec.json.decode(response.data, type=reply_type)
        failure = msgspec.json.decode(response.data, type=FailureReply)
    except msgspec.MsgspecError as cause:
        message = (
            f"{url} answered {response.status} with a malformed body ({cause}); check "
            "that the URL is that of a daemon of this release"
        )
        if method is Method.GET:
            raise StoreUnavailableError(message) from cause
        raise OutcomeUnknownError("response_malformed", message) from cause
    raise _create_error(method, response.status, failure)


def _add_retry_advice(method: Method, message: str) -> str:
    if method is Method.GET:
        return message
    return (
        f"{message}; this call changed nothing; repeat the same command later, it "
        "makes the change at most once"
    )


def _create_error(
    method: Method, status: int, failure: FailureReply
) -> SycamorecroftError:
    match status:
        case HTTPStatus.CONFLICT:
            return ConfigurationConflictError(failure.message)
        case HTTPStatus.UNAUTHORIZED | HTTPStatus.FORBIDDEN:
            return OperatorTokenRefusedError(failure.message)
        case HTTPStatus.SERVICE_UNAVAILABLE:
            return StoreUnavailableError(_add_retry_advice(method, failure.message))
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return ConfigurationError(failure.message)
    if method is Method.GET:
        return StoreUnavailableError(failure.message)
    message = (
        f"{failure.message}: the change may have been made; repeat the same command, "
        "it makes the change at most once and reports the result"
    )
    return OutcomeUnknownError(failure.error, message)
