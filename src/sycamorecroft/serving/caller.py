"""Whom a call comes from, and which jobs it may access."""

import math
from collections.abc import Callable
from typing import NamedTuple


class Caller(NamedTuple):
    """Client account of a call.

    ``account``: name of the account, empty if the call carries no key, and ``None`` if
    the configuration has no client accounts. ``checked_until_s``: monotonic time in
    seconds until which the check of the key holds. ``authenticate`` checks the key
    again; ``None`` if there is nothing to check.
    """

    account: str | None
    checked_until_s: float = math.inf
    authenticate: Callable[[], "Caller"] | None = None

    @property
    def is_restricted(self) -> bool:
        """Whether the caller may access some jobs only."""
        return self.account is not None

    def may_access(self, account: str | None) -> bool:
        """
        :param account: account of a job, empty if it has none, ``None`` if that isn't
            known.
        :returns: whether the job is known to be open to the caller.
        """
        return not self.is_restricted or account in ("", self.account)

    def check_again(self) -> "Caller":
        """Checks the key by what is in force now, before a later step of the call.

        :returns: the same caller, with the time until which this check holds.
        :raises KeyRefusedError: when the call would not be served any more.
        """
        return self if self.authenticate is None else self.authenticate()


# Caller of a site without client accounts.
UNRESTRICTED = Caller(None)
