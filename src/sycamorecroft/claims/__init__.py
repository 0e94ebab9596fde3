"""At-most-once claims for non-idempotent requests."""

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
