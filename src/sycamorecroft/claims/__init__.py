"""At-most-once execution of non-idempotent requests by claims on idempotency keys."""

from sycamorecroft.claims.interfaces import (
    ClaimKey,
    ClaimResult,
    Claims,
    HeldClaim,
    PendingClaim,
    RecordedResponse,
)
from sycamorecroft.claims.service import ClaimService, ClaimSettings

__all__ = [
    "ClaimKey",
    "ClaimResult",
    "ClaimService",
    "ClaimSettings",
    "Claims",
    "HeldClaim",
    "PendingClaim",
    "RecordedResponse",
]
