"""Outcome headers of requests that the listener refuses before they are handled."""

from collections.abc import Mapping
from http import HTTPStatus

from sycamorecroft.admission.reasons import AdmissionRefusal
from sycamorecroft.entry.eviction import CloseReason
from sycamorecroft.entry.headers import OUTCOME_HEADER, REASON_HEADER
from sycamorecroft.entry.refusal import Refusal
from sycamorecroft.entry.request_report import BAD_REQUEST
from sycamorecroft.routing.execution import Outcome


def refusal_fields(refusal: Refusal) -> Mapping[str, str]:
    """
    :returns: outcome and reason, by which callers know that the request was not run.
    """
    if refusal.status is not HTTPStatus.SERVICE_UNAVAILABLE:
        reason = BAD_REQUEST
    elif refusal.reason is CloseReason.MEMORY_SHORT:
        reason = AdmissionRefusal.ENTRY_BYTES.value
    else:
        reason = AdmissionRefusal.ENTRY_PLACES.value
    return {OUTCOME_HEADER: Outcome.NOT_RUN.value, REASON_HEADER: reason}
