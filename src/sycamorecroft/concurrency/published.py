"""Immutable snapshots that one owner publishes and any thread reads."""

from typing import Generic, TypeVar

Snapshot = TypeVar("Snapshot")


class Published(Generic[Snapshot]):
    """Holder of the latest snapshot. Setting it replaces one reference.

    :param initial: snapshot before the first one is published; must be immutable.
    """

    def __init__(self, initial: Snapshot) -> None:
        self._snapshot = initial

    def get(self) -> Snapshot:
        """
        :returns: the latest snapshot.
        """
        return self._snapshot

    def set(self, snapshot: Snapshot) -> None:
        """Publishes a snapshot; only its owner calls this."""
        self._snapshot = snapshot
