"""Validation of callers' requests and conversion of their headers to typed values."""

import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sycamorecroft.configuration.fleet import (
    AccountConfiguration,
    FleetConfiguration,
    ServiceConfiguration,
    Urgency,
)
from sycamorecroft.entry.headers import (
    ACCOUNT_HEADER,
    DEFAULT_TEAM,
    IDEMPOTENCY_KEY_HEADER,
    REPEATABLE_HEADER,
    RESERVED_PREFIX,
    TEAM_HEADER,
    TIMEOUT_HEADER,
    URGENCY_HEADER,
)
from sycamorecroft.errors import RequestError

MIN_TIMEOUT_MS = 1
MAX_TIMEOUT_MS = 3_600_000
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,128}")
_MS_PER_S = 1000.0
# Error messages quote at most this many characters of a caller's value.
_QUOTED_LIMIT_CHARACTERS = 64


class CallerRequest(NamedTuple):
    """A caller's request with validated headers and body."""

    request_id: str
    service: ServiceConfiguration
    team: str
    urgency: Urgency
    timeout_s: float
    is_repeatable: bool
    idempotency_key: str | None
    headers: Mapping[str, str]
    body: bytes


class IncomingRequest(NamedTuple):
    """A caller's request as received, before validation."""

    request_id: str
    service: str
    headers: Mapping[str, str]
    body: bytes


def _forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """
    :returns: headers for the backend server; the dispatcher removes hop-by-hop headers.
    """
    return {
        name: value
        for name, value in headers.items()
        if not name.lower().startswith(RESERVED_PREFIX)
    }


def _quote(value: str) -> str:
    return repr(value[:_QUOTED_LIMIT_CHARACTERS])


def _join_sorted(values: Iterable[str]) -> str:
    return ", ".join(sorted(values))


def parse_request(
    incoming: IncomingRequest, configuration: FleetConfiguration
) -> CallerRequest:
    """Validates a caller's request against the configuration.

    :param incoming: the request as received.
    :param configuration: the configuration in force.
    :returns: the validated request.
    :raises RequestError: if a value is invalid; the message names the value, those
        allowed and the remedy.
    """
    service = _require_service(incoming, configuration)
    account = configuration.accounts[service.account]
    is_repeatable = _parse_is_repeatable(incoming.headers, service)
    return CallerRequest(
        request_id=incoming.request_id,
        service=service,
        team=_parse_team(incoming.headers, account),
        urgency=_parse_urgency(incoming.headers, service),
        timeout_s=_parse_timeout_s(incoming.headers, service),
        is_repeatable=is_repeatable,
        idempotency_key=_parse_idempotency_key(
            incoming.headers, service, is_repeatable
        ),
        headers=_forwarded_headers(incoming.headers),
        body=_require_body(incoming, service),
    )


def _require_service(
    incoming: IncomingRequest, configuration: FleetConfiguration
) -> ServiceConfiguration:
    service = configuration.services.get(incoming.service)
    if service is None:
        raise RequestError(
            f"unknown service {_quote(incoming.service)}; configuration version "
            f"{configuration.version} has: {_join_sorted(configuration.services)}; "
            "correct the path"
        )
    account = incoming.headers.get(ACCOUNT_HEADER, service.account)
    if account != service.account:
        raise RequestError(
            f"{ACCOUNT_HEADER}: got {_quote(account)}; service {service.name!r} "
            f"belongs to {service.account!r}; correct or leave out the header"
        )
    return service


def _parse_team(headers: Mapping[str, str], account: AccountConfiguration) -> str:
    team = headers.get(TEAM_HEADER)
    if team is None:
        return DEFAULT_TEAM
    if team not in account.teams:
        raise RequestError(
            f"{TEAM_HEADER}: got {_quote(team)}; client account {account.name!r} has: "
            f"{_join_sorted(account.teams)}; correct or leave out the header"
        )
    return team


def _parse_urgency(
    headers: Mapping[str, str], service: ServiceConfiguration
) -> Urgency:
    text = headers.get(URGENCY_HEADER, service.default_urgency)
    try:
        return Urgency(text)
    except ValueError as error:
        raise RequestError(
            f"{URGENCY_HEADER}: got {_quote(text)}; allowed are "
            f"{_join_sorted(Urgency)}; correct or leave out the header"
        ) from error


def _parse_timeout_s(
    headers: Mapping[str, str], service: ServiceConfiguration
) -> float:
    text = headers.get(TIMEOUT_HEADER)
    if text is None:
        return service.timeout_s
    allowed = f"whole milliseconds from {MIN_TIMEOUT_MS} to {MAX_TIMEOUT_MS}"
    if not (text.isascii() and text.isdigit()):
        raise RequestError(
            f"{TIMEOUT_HEADER}: got {_quote(text)}; allowed are {allowed}"
        )
    timeout_ms = int(text[:9])
    if len(text) > 9 or not MIN_TIMEOUT_MS <= timeout_ms <= MAX_TIMEOUT_MS:
        raise RequestError(
            f"{TIMEOUT_HEADER}: got {_quote(text)}; allowed are {allowed}"
        )
    # The configured time limit of the service is an upper bound.
    return min(timeout_ms / _MS_PER_S, service.timeout_s)


def _parse_is_repeatable(
    headers: Mapping[str, str], service: ServiceConfiguration
) -> bool:
    text = headers.get(REPEATABLE_HEADER)
    if text is None:
        return service.is_repeatable
    if text not in ("yes", "no"):
        raise RequestError(
            f"{REPEATABLE_HEADER}: got {_quote(text)}; allowed are yes, no"
        )
    if text == "yes" and not service.is_repeatable:
        raise RequestError(
            f"{REPEATABLE_HEADER}: got 'yes'; requests to service {service.name!r} "
            "are not repeatable by its configuration; leave out the header"
        )
    return text == "yes"


def _parse_idempotency_key(
    headers: Mapping[str, str], service: ServiceConfiguration, is_repeatable: bool
) -> str | None:
    key = headers.get(IDEMPOTENCY_KEY_HEADER)
    if is_repeatable:
        return None
    if key is None:
        raise RequestError(
            f"{IDEMPOTENCY_KEY_HEADER} is missing; a request to service "
            f"{service.name!r} that is not repeatable needs one, so that it runs at "
            "most once; send a key that is unique for each request and is reused "
            "when the same request is repeated"
        )
    return validate_idempotency_key(key)


def validate_idempotency_key(key: str) -> str:
    """
    :returns: ``key`` unchanged.
    :raises RequestError: if it is empty, too long or has invalid characters.
    """
    if not _IDEMPOTENCY_KEY.fullmatch(key):
        raise RequestError(
            f"{IDEMPOTENCY_KEY_HEADER}: got {_quote(key)}; allowed are 1 to 128 "
            "printable ASCII characters without spaces"
        )
    return key


def _require_body(incoming: IncomingRequest, service: ServiceConfiguration) -> bytes:
    if len(incoming.body) > service.body_limit_bytes:
        raise RequestError(
            f"body of {len(incoming.body)} bytes; service {service.name!r} accepts at "
            f"most {service.body_limit_bytes} bytes; send a smaller body"
        )
    return incoming.body
