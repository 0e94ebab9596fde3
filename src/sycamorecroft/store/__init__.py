"""Clients of the platform's services, with the store budget and the circuit breaker."""

from sycamorecroft.store.backoff import Backoff
from sycamorecroft.store.budget import StoreBudget
from sycamorecroft.store.guarded import GuardedTableService, StoreHealth
from sycamorecroft.store.http_hosts import HttpHostControl, HttpHostList
from sycamorecroft.store.http_objects import HttpObjectStore
from sycamorecroft.store.http_tables import HttpTableService
from sycamorecroft.store.http_tasks import HttpTaskService
from sycamorecroft.store.read_back import (
    ReadBackState,
    TokenRow,
    read_back,
    transact_with_token,
)
from sycamorecroft.store.transport import PlatformConnection

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
