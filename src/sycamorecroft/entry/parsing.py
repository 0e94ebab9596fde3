"""Turns the headers of a caller's request into typed, checked values."""

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
# Values of callers are repeated in messages up to this length.
_QUOTED_LIMIT_CHARACTERS = 64


class CallerRequest(NamedTuple):
    """A caller's request after its headers were checked."""

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
    """A caller's request as it arrived."""

    request_id: str
    service: str
    headers: Mapping[str, str]
    body: bytes


def _forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """
    :returns: headers for the backend server; the dispatcher drops those of the hop.
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
    call: IncomingRequest, configuration: FleetConfiguration
) -> CallerRequest:
    """
    :param call: the request as it arrived.
    :param configuration: the configuration in force.
    :returns: the checked request.
    :raises RequestError: naming the value got, the values allowed and what to do.
    """
    service = _require_service(call, configuration)
    account = configuration.accounts[service.account]
    is_repeatable = _parse_is_repeatable(call.headers, service)
    return CallerRequest(
        request_id=call.request_id,
        service=service,
        team=_parse_team(call.headers, account),
        urgency=_parse_urgency(call.headers, service),
        timeout_s=_parse_timeout_s(call.headers, service),
        is_repeatable=is_repeatable,
        idempotency_key=_parse_idempotency_key(call.headers, service, is_repeatable),
        headers=_forwarded_headers(call.headers),
        body=_require_body(call, service),
    )


def _require_service(
    call: IncomingRequest, configuration: FleetConfiguration
) -> ServiceConfiguration:
    service = configuration.services.get(call.service)
    if service is None:
        raise RequestError(
            f"unknown service {_quote(call.service)}; configuration version "
            f"{configuration.version} has: {_join_sorted(configuration.services)}; "
            "correct the path"
        )
    account = call.headers.get(ACCOUNT_HEADER, service.account)
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
    # The service's own time limit holds whatever the caller asks.
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
            "most once; send a key of your own that is new for each order and is "
            "kept when the same order is sent again"
        )
    return validate_idempotency_key(key)


def validate_idempotency_key(key: str) -> str:
    """
    :returns: the key.
    :raises RequestError: if it is too long or has other characters than allowed.
    """
    if not _IDEMPOTENCY_KEY.fullmatch(key):
        raise RequestError(
            f"{IDEMPOTENCY_KEY_HEADER}: got {_quote(key)}; allowed are 1 to 128 "
            "printable ASCII characters without spaces"
        )
    return key


def _require_body(call: IncomingRequest, service: ServiceConfiguration) -> bytes:
    if len(call.body) > service.body_limit_bytes:
        raise RequestError(
            f"body of {len(call.body)} bytes; service {service.name!r} takes at most "
            f"{service.body_limit_bytes} bytes; send a smaller body"
        )
    return call.body
