"""Controller leases, and transactions that resolve unknown outcomes by reading back."""

from sycamorecroft.leases.lease import ControllerLease, LeaseRecord
from sycamorecroft.leases.transactions import transact_resolved

__all__ = ["ControllerLease", "LeaseRecord", "transact_resolved"]
