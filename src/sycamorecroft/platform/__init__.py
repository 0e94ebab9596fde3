"""Adapter to the users' platform: its names, wire formats and calls, without logic."""

from sycamorecroft.platform.advice import HttpAdviceCalls
from sycamorecroft.platform.api_keys import read_key_digest
from sycamorecroft.platform.hosts import HttpHostCalls
from sycamorecroft.platform.records import (
    decode_fleet,
    decode_wave,
    decode_worker,
    encode_wave_status,
)
from sycamorecroft.platform.submissions import decode_job
from sycamorecroft.platform.tables import PlatformTables
from sycamorecroft.platform.workers import HttpWorkerCalls

__all__ = [
    "HttpAdviceCalls",
    "HttpHostCalls",
    "HttpWorkerCalls",
    "PlatformTables",
    "decode_fleet",
    "decode_job",
    "decode_wave",
    "decode_worker",
    "encode_wave_status",
    "read_key_digest",
]
