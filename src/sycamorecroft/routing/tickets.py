"""Names of slot tickets, which consist of the service and a random part."""

import secrets

_RANDOM_BYTES = 9


def new_ticket(service: str) -> str:
    """
    :returns: new unique ticket for a slot of ``service``.
    """
    return f"{service}/{secrets.token_urlsafe(_RANDOM_BYTES)}"


def service_of(ticket: str) -> str:
    """
    :returns: service whose slot ``ticket`` requests.
    """
    return ticket.rpartition("/")[0]
