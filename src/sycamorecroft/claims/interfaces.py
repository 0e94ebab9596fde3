"""Interface of at-most-once claims for non-idempotent requests."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple


class ClaimKey(NamedTuple):
    """Idempotency key within its scope, an account and a service."""

    account: str
    service: str
    idempotency_key: str


class RecordedResponse(NamedTuple):
    """Complete response of a backend server, replayed for repeated requests."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class HeldClaim(NamedTuple):
    """Claim held by this daemon, which may dispatch the request once."""

    key: ClaimKey
    token: str


class PendingClaim(NamedTuple):
    """Claim of another attempt, without a recorded response; its outcome is unknown."""

    key: ClaimKey


ClaimResult = HeldClaim | PendingClaim | RecordedResponse


class Claims(ABC):
    """At-most-once claims on idempotency keys."""

    @abstractmethod
    def claim(
        self, key: ClaimKey, *, body_digest: str, deadline_s: float
    ) -> ClaimResult:
        """Claims a key, or finds the claim or response of another attempt.

        :param body_digest: digest of the request's body and content type.
        :param deadline_s: monotonic time in seconds at which the caller stops waiting.
        :returns: the claim held, the pending claim of another attempt, or the recorded
            response.
        :raises NotRunError: when the claim isn't known to be held; the request must not
            be dispatched.
        :raises RequestError: when the key was used with another body.
        """

    @abstractmethod
    def record(self, claim: HeldClaim, response: RecordedResponse) -> None:
        """Records the response for repeated requests; retries in background."""

    @abstractmethod
    def release(self, claim: HeldClaim) -> None:
        """Releases the claim of a request that did not run; retries in background."""
