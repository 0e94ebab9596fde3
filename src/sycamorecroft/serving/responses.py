"""Responses to callers."""

from http import HTTPStatus
from typing import NamedTuple

RETRY_AFTER_MIN_S = 1
RETRY_AFTER_MAX_S = 5


class Response(NamedTuple):
    """Response to a caller.

    ``reason`` is the code of a refusal from a bounded set, used as a metric label.
    """

    status: HTTPStatus
    body: dict[str, object] | None = None
    retry_after_s: int | None = None
    reason: str = ""


def refused(status: HTTPStatus, text: str, reason: str = "") -> Response:
    """
    :param text: what the caller is told.
    :param reason: code of the refusal; that of the status if it is left out.
    """
    return Response(status, {"reason": text}, reason=reason or status.name.lower())


def unavailable(
    text: str, retry_after_s: int = RETRY_AFTER_MIN_S, reason: str = ""
) -> Response:
    """
    :param retry_after_s: time in seconds after which the caller may repeat the call.
    """
    response = refused(HTTPStatus.SERVICE_UNAVAILABLE, text, reason)
    return response._replace(retry_after_s=retry_after_s)


def outage(contact_age_s: float, text: str, reason: str = "") -> Response:
    """Refuses a call during an outage of the store.

    An outage is likely to last about as long again as it has lasted so far. Callers
    retry only a few times, so that the delay grows with the outage.

    :param contact_age_s: time in seconds since the store's last answer.
    """
    age_s = round(contact_age_s)
    retry_after_s = max(RETRY_AFTER_MIN_S, min(RETRY_AFTER_MAX_S, age_s))
    return unavailable(text, retry_after_s, reason)
