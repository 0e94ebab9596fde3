"""Controller leases and transactions whose outcome is resolved by reading back."""

from sycamorecroft.leases.lease import ControllerLease, LeaseRecord
from sycamorecroft.leases.transactions import transact_resolved

__all__ = ["ControllerLease", "LeaseRecord", "transact_resolved"]
