"""Finds the client account of a call by its API key."""

from collections.abc import Callable
from enum import StrEnum
from functools import partial
from http import HTTPStatus
from typing import NamedTuple

import structlog

from sycamorecroft.clock import Clock
from sycamorecroft.log_intervals import LogIntervals
from sycamorecroft.serving.caller import UNRESTRICTED, Caller
from sycamorecroft.serving.configuration_lookup import (
    ConfigurationLookup,
    LookupOutcome,
)
from sycamorecroft.serving.responses import Response, outage, refused
from sycamorecroft.serving.router import RouteTarget

_log = structlog.get_logger(__name__)

KeyReader = Callable[[dict], bytes | None]
TargetFinder = Callable[[], RouteTarget | Response]


class KeyRefusal(StrEnum):
    """Why a call isn't served; also the code of the refusal.

    ``UNVERIFIED``: the key is unknown here, and the configuration can't be read.
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
            a look-up of the key may change.
        :returns: the call with its client account, or its refusal.
        """
        arrived_s = self._clock.monotonic_s()
        target = find_target()
        if isinstance(target, Response):
            return target
        found = self._check(environ, target)
        lookup_outcome = None
        if found is KeyRefusal.UNKNOWN:
            lookup_outcome = self._lookup.look_up(arrived_s)
            target = find_target()
            if isinstance(target, Response):
                return target
            found = self._check(environ, target)
        if isinstance(found, KeyRefusal):
            return self._refuse(found, target, lookup_outcome)
        if not found.is_restricted:
            return AuthenticatedCall(target, found)
        is_current = partial(self._is_current, environ, find_target, found.account)
        return AuthenticatedCall(target, found._replace(is_current=is_current))

    def _check(self, environ: dict, target: RouteTarget) -> Caller | KeyRefusal:
        router = target.router
        if router.keys is None:
            return UNRESTRICTED
        digest = self._read_key_digest(environ)
        if digest is None:
            return Caller("") if target.is_public else KeyRefusal.MISSING
        account = router.keys.find(digest)
        return KeyRefusal.UNKNOWN if account is None else Caller(account)

    def _is_current(
        self, environ: dict, find_target: TargetFinder, account: str
    ) -> bool:
        """Returns whether the call would still be served, for the same account."""
        target = find_target()
        if isinstance(target, Response):
            # A call on a route that was removed meanwhile is completed.
            return True
        found = self._check(environ, target)
        return isinstance(found, Caller) and found.account in (account, None)

    def _refuse(
        self,
        refusal: KeyRefusal,
        target: RouteTarget,
        lookup_outcome: LookupOutcome | None,
    ) -> Response:
        if lookup_outcome is LookupOutcome.FAILED and refusal is KeyRefusal.UNKNOWN:
            refusal = KeyRefusal.UNVERIFIED
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
                text = "the API key is not known here, and the store can't be reached"
                return outage(self._contact_age_s(), text, refusal)
        return refused(HTTPStatus.UNAUTHORIZED, text, refusal)
