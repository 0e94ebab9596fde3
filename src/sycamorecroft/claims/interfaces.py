"""Interface of at-most-once claims for non-idempotent requests."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple


class ClaimKey(NamedTuple):
    """Scope of an idempotency key."""

    account: str
    service: str
    idempotency_key: str


class RecordedResponse(NamedTuple):
    """Whole response of a backend server, kept for repeated requests."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class HeldClaim(NamedTuple):
    """Claim held by this daemon: it may dispatch the request once."""

    key: ClaimKey
    token: str


class PendingClaim(NamedTuple):
    """Claim of another attempt without a recorded response: outcome unknown."""

    key: ClaimKey


ClaimResult = HeldClaim | PendingClaim | RecordedResponse


class Claims(ABC):
    """At-most-once claims, kept in the platform's table service."""

    @abstractmethod
    def claim(
        self, key: ClaimKey, *, body_digest: str, deadline_s: float
    ) -> ClaimResult:
        """
        :param body_digest: digest of the request's body and content type.
        :param deadline_s: monotonic time after which the caller no longer waits.
        :raises NotRunError: when the claim is not known to be held; never dispatch.
        :raises RequestError: when the key was used with another body.
        """

    @abstractmethod
    def record(self, claim: HeldClaim, response: RecordedResponse) -> None:
        """Keeps the response for repeated requests; retries in the background."""

    @abstractmethod
    def release(self, claim: HeldClaim) -> None:
        """Gives up a claim whose request is known not to have run; retries."""
