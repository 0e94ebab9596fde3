"""Admission control: the queue of each service and the limits of an entry host."""

from sycamorecroft.admission.reasons import AdmissionRefusal
from sycamorecroft.admission.service_queue import ServiceQueue

__all__ = ["AdmissionRefusal", "ServiceQueue"]
