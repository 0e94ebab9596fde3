"""Names of slot tickets: the service and a random part."""

import secrets

_RANDOM_BYTES = 9


def new_ticket(service: str) -> str:
    """
    :returns: a unique ticket for a slot of ``service``.
    """
    return f"{service}/{secrets.token_urlsafe(_RANDOM_BYTES)}"


def service_of(ticket: str) -> str:
    """
    :returns: the service that ``ticket`` is for.
    """
    return ticket.rpartition("/")[0]
