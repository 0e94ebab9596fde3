"""Index of the API keys of client accounts."""

from collections.abc import Iterable
from hmac import compare_digest

from sycamorecroft.scheduling.model import ClientAccount


class AccountKeys:
    """Keys of the client accounts of one version of the configuration. Immutable."""

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self._holders = {
            digest: (digest, account.name)
            for account in accounts
            for digest in account.key_digests
        }

    def __len__(self) -> int:
        return len(self._holders)

    def find(self, digest: bytes) -> str | None:
        """
        :param digest: digest of the key that a call carries.
        :returns: name of the account that holds the key, ``None`` if none does.
        """
        stored, name = self._holders.get(digest, (b"", None))
        return name if compare_digest(stored, digest) else None

    def count_new(self, former: "AccountKeys") -> int:
        """
        :returns: number of keys that the former version doesn't have.
        """
        return len(self._holders.keys() - former._holders.keys())
