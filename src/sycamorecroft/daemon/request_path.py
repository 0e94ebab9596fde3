"""Components that process callers' requests, from admission to dispatch."""

from collections.abc import Callable
from typing import NamedTuple

import pykka

from sycamorecroft.admission.in_flight_limit import InFlightLimit
from sycamorecroft.claims.service import ClaimService
from sycamorecroft.clock import Clock
from sycamorecroft.daemon.store import PlatformClients
from sycamorecroft.routing.dispatch import Dispatcher
from sycamorecroft.routing.execution import RequestExecutor
from sycamorecroft.routing.requester_actor import ActorSlotSource
from sycamorecroft.routing.retry import RetryBudget
from sycamorecroft.settings import DaemonSettings


class RequestPath(NamedTuple):
    """Components that all requests of an entry host share."""

    limit: InFlightLimit
    claims: ClaimService
    dispatcher: Dispatcher
    executor: RequestExecutor


def build_request_path(
    settings: DaemonSettings,
    platform: PlatformClients,
    requester: pykka.ActorRef,
    clock: Clock,
    wake: Callable[[], None],
) -> RequestPath:
    """
    :param requester: reference to the actor that manages slot requests.
    :param wake: called before each slot request, so that ticks become frequent.
    :returns: components with the limits of the settings.
    """
    limit = InFlightLimit(
        1,
        requests_limit_count=settings.admitted_limit_count,
        body_limit_bytes=settings.in_flight_limit_bytes,
    )
    claims = ClaimService(platform.tables, platform.objects, clock)
    dispatcher = Dispatcher(clock, response_limit_bytes=settings.body_limit_bytes)
    executor = RequestExecutor(
        slots=ActorSlotSource(requester, clock, wake),
        claims=claims,
        dispatcher=dispatcher,
        retry_budget=RetryBudget(),
        clock=clock,
    )
    return RequestPath(limit, claims, dispatcher, executor)
