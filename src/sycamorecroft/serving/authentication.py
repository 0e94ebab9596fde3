"""Finds the client account of a call by its API key."""

from collections.abc import Callable
from enum import StrEnum
from functools import partial
from http import HTTPStatus
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.errors import KeyRefusedError
from sycamorecroft.log_intervals import LogIntervals
from sycamorecroft.serving.caller import UNRESTRICTED, Caller
from sycamorecroft.serving.configuration_lookup import (
    ConfigurationLookup,
    LookupOutcome,
)
from sycamorecroft.serving.job_store import CONTACT_TIMEOUT_S
from sycamorecroft.serving.responses import Response, outage, refused
from sycamorecroft.serving.router import RouteTarget

_log = structlog.get_logger(__name__)

KeyReader = Callable[[dict], bytes | None]
TargetFinder = Callable[[], RouteTarget | Response]


class KeyRefusal(StrEnum):
    """Why a call isn't served; also the code of the refusal.

    ``UNVERIFIED``: what is known here isn't enough to accept or refuse the key, and the
    configuration can't be read.
    """

    MISSING = "key_missing"
    UNKNOWN = "key_unknown"
    UNVERIFIED = "key_unverified"


class AuthenticatedCall(NamedTuple):
    """A call that may be served, and the queue that it is for."""

    target: RouteTarget
    caller: Caller


class Authentication:
    """Checks the key of each call against the configuration in force. Thread-safe.

    :param read_key_digest: returns the digest of the key that a WSGI environment
        carries, ``None`` if it carries none.
    :param contact_age_s: returns the time in seconds since the store's last answer.
    """

    def __init__(
        self,
        read_key_digest: KeyReader,
        lookup: ConfigurationLookup,
        clock: Clock,
        contact_age_s: Callable[[], float],
    ) -> None:
        self._read_key_digest = read_key_digest
        self._lookup = lookup
        self._clock = clock
        self._contact_age_s = contact_age_s
        self._log_intervals = LogIntervals(clock)

    def authenticate(
        self, environ: dict, find_target: TargetFinder
    ) -> AuthenticatedCall | Response:
        """
        :param find_target: finds the call's queue in the configuration in force, which
            a read of the configuration may change.
        :returns: the call with its client account, or its refusal.
        """
        arrived_s = self._clock.monotonic_s()
        target = find_target()
        if isinstance(target, Response):
            return target
        found = self._check(environ, target)
        lookup_outcome = self._look_up_if_needed(found, arrived_s)
        if lookup_outcome is not None:
            target = find_target()
            if isinstance(target, Response):
                return target
            found = self._check(environ, target)
        checked_until_s = self._lookup.current_until_s()
        if self._is_unverified(found, lookup_outcome, checked_until_s):
            found = KeyRefusal.UNVERIFIED
        if isinstance(found, KeyRefusal):
            return self._refuse(found, target, lookup_outcome)
        if not found.is_restricted:
            return AuthenticatedCall(target, found)
        again = partial(self._authenticate_again, environ, find_target, found.account)
        return AuthenticatedCall(target, Caller(found.account, checked_until_s, again))

    def _look_up_if_needed(
        self, found: Caller | KeyRefusal, arrived_s: float
    ) -> LookupOutcome | None:
        """
        :returns: outcome of the look-up, ``None`` if the call needs none.
        """
        if found is KeyRefusal.UNKNOWN:
            return self._lookup.look_up(arrived_s)
        is_served = isinstance(found, Caller) and found.is_restricted
        if not is_served or self._lookup.is_current():
            return None
        if self._contact_age_s() >= CONTACT_TIMEOUT_S:
            # The call can't be served during an outage, and is refused at once.
            return LookupOutcome.FAILED
        return self._lookup.refresh()

    def _is_unverified(
        self,
        found: Caller | KeyRefusal,
        lookup_outcome: LookupOutcome | None,
        checked_until_s: float,
    ) -> bool:
        """
        :returns: whether what is in force here isn't enough to judge the call.
        """
        if found is KeyRefusal.UNKNOWN:
            return lookup_outcome is LookupOutcome.FAILED
        is_served = isinstance(found, Caller) and found.is_restricted
        return is_served and checked_until_s < self._clock.monotonic_s()

    def _check(self, environ: dict, target: RouteTarget) -> Caller | KeyRefusal:
        router = target.router
        if router.keys is None:
            return UNRESTRICTED
        digest = self._read_key_digest(environ)
        if digest is None:
            return Caller("") if target.is_public else KeyRefusal.MISSING
        account = router.keys.find(digest)
        return KeyRefusal.UNKNOWN if account is None else Caller(account)

    def _authenticate_again(
        self, environ: dict, find_target: TargetFinder, account: str
    ) -> Caller:
        """
        :raises KeyRefusedError: when the call would not be served any more, or for
            another account.
        """
        call = self.authenticate(environ, find_target)
        if isinstance(call, Response):
            is_final = call.status is not HTTPStatus.SERVICE_UNAVAILABLE
            raise KeyRefusedError(call, is_final=is_final)
        if call.caller.account not in (account, None):
            response = self._refuse(KeyRefusal.UNKNOWN, call.target, None)
            raise KeyRefusedError(response, is_final=True)
        return call.caller

    def _refuse(
        self,
        refusal: KeyRefusal,
        target: RouteTarget,
        lookup_outcome: LookupOutcome | None,
    ) -> Response:
        suppressed_count = self._log_intervals.admit(refusal)
        if suppressed_count is not None:
            _log.info(
                "call_refused",
                reason=refusal,
                queue=target.queue.name,
                version=target.router.fleet.version,
                configuration_age_s=round(self._lookup.age_s(), 3),
                lookup=lookup_outcome,
                suppressed_count=suppressed_count,
            )
        return self._respond(refusal)

    def _respond(self, refusal: KeyRefusal) -> Response:
        match refusal:
            case KeyRefusal.MISSING:
                text = "this queue needs an API key"
            case KeyRefusal.UNKNOWN:
                text = "the API key is not known"
            case KeyRefusal.UNVERIFIED:
                text = "the API key can't be checked, since the store can't be reached"
                return outage(self._contact_age_s(), text, refusal)
        return refused(HTTPStatus.UNAUTHORIZED, text, refusal)
