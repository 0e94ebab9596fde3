"""Client accounts of a run, and what callers may get with their keys."""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

ACCOUNTS = ("north", "south")
KEYS_PER_ACCOUNT_COUNT = 2
# Longest time until a change of the configuration is in force.
CONFIGURATION_BOUND_S = 3.0


class Key(NamedTuple):
    """Key of an account. ``account`` is empty for a key that nobody has."""

    text: str
    account: str


UNKNOWN_KEY = Key("unknown", "")


def account_of(job_id: str) -> str:
    """
    :returns: account whose keys callers use for a job.
    """
    return ACCOUNTS[int(job_id[0], 16) % len(ACCOUNTS)]


class KeyRing:
    """Keys of the accounts, one of which is replaced during the run. Thread-safe.

    :ivar withdrawn: key that was withdrawn; a key that nobody has until then.
    """

    def __init__(self) -> None:
        self._keys = tuple(
            Key(f"{account}-{number}", account)
            for account in ACCOUNTS
            for number in range(KEYS_PER_ACCOUNT_COUNT)
        )
        self.withdrawn = UNKNOWN_KEY
        self._added: Key | None = None
        # Before it, the former keys may be in force.
        self._in_force_s = float("-inf")

    @property
    def is_replaced(self) -> bool:
        """Whether a key has been replaced."""
        return self.withdrawn != UNKNOWN_KEY

    @property
    def is_withdrawal_settled(self) -> bool:
        """Whether a key was withdrawn so long ago that nothing may be served for it."""
        return self.is_replaced and time.monotonic() > self._in_force_s

    def tenants(self) -> list[dict[str, object]]:
        """
        :returns: the accounts as in the configuration.
        """
        return [
            {
                "name": account,
                "keys": [key.text for key in self._keys if key.account == account],
            }
            for account in ACCOUNTS
        ]

    def choose(self, account: str, rng: random.Random) -> Key:
        """
        :returns: one of the account's keys.
        """
        return rng.choice([key for key in self._keys if key.account == account])

    def replace_one(self, publish: Callable[[list[dict[str, object]]], None]) -> None:
        """Replaces the first key by a new one of its account.

        :param publish: stores the accounts; may raise an error, after which the keys
            are as before.
        """
        former_keys, former = self._keys, self._keys[0]
        self._added = Key(f"{former.account}-new", former.account)
        # Callers may use the new key from now on.
        self._in_force_s = float("inf")
        self._keys = (*former_keys[1:], self._added)
        try:
            publish(self.tenants())
        except Exception:
            self._keys = former_keys
            raise
        self._in_force_s = time.monotonic() + CONFIGURATION_BOUND_S
        self.withdrawn = former

    def find_violation(
        self, key: Key, account: str, sent_s: float, status: int
    ) -> str | None:
        """
        :param account: account of the job that the call was for.
        :param sent_s: monotonic time at which the call was sent.
        :returns: what is wrong with the answer; ``None`` if it is allowed.
        """
        is_settled = sent_s > self._in_force_s
        is_served = status == 200
        if is_served and key == UNKNOWN_KEY:
            return "an unknown key was served"
        if is_served and key == self.withdrawn and is_settled:
            return f"the withdrawn key {key.text} was served"
        if is_served and key.account != account:
            return f"the key {key.text} was served for a job of {account}"
        is_valid = key in self._keys and (is_settled or key != self._added)
        if status == 401 and is_valid:
            return f"the valid key {key.text} was refused"
        if status == 403 and is_valid and key.account == account:
            return f"the key {key.text} was refused for a job of its account"
        return None
