"""Clients of the platform's services, the store budget and the circuit breaker."""

from sycamorecroft.platform.backoff import Backoff
from sycamorecroft.platform.budget import StoreBudget
from sycamorecroft.platform.guarded import GuardedTableService, StoreHealth
from sycamorecroft.platform.http_hosts import HttpHostControl, HttpHostList
from sycamorecroft.platform.http_objects import HttpObjectStore
from sycamorecroft.platform.http_tables import HttpTableService
from sycamorecroft.platform.http_tasks import HttpTaskService
from sycamorecroft.platform.read_back import (
    ReadBackState,
    TokenRow,
    read_back,
    transact_with_token,
)
from sycamorecroft.platform.transport import PlatformConnection

__all__ = [
    "Backoff",
    "GuardedTableService",
    "HttpHostControl",
    "HttpHostList",
    "HttpObjectStore",
    "HttpTableService",
    "HttpTaskService",
    "PlatformConnection",
    "ReadBackState",
    "StoreBudget",
    "StoreHealth",
    "TokenRow",
    "read_back",
    "transact_with_token",
]
