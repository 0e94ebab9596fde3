"""Whom a call comes from, and which jobs it may access."""

from collections.abc import Callable
from typing import NamedTuple


class Caller(NamedTuple):
    """Client account of a call.

    ``account``: name of the account, empty if the call carries no key, and ``None`` if
    the configuration has no client accounts. ``is_current`` returns whether the key
    would pass the check now.
    """

    account: str | None
    is_current: Callable[[], bool] = lambda: True

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


# Caller of a site without client accounts.
UNRESTRICTED = Caller(None)
